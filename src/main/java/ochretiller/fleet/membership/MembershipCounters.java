package ochretiller.fleet.membership;

/**
 * What happened since the start; written by the thread that owns the view, read by another that may
 * see it a little late.
 */
public final class MembershipCounters {
    public long probes;
    public long failedProbes;
    public long indirectProbes;
    public long suspicions;
    public long refutations;
    public long becameUnresponsive;
    public long returned;
    public long joined;
    public long left;
    public long syncs;
    public long syncsRejected;
    public long unknownMembers;
    public long capacityRejections;
    public long duplicateNames;
    public long lateTicks;
}
