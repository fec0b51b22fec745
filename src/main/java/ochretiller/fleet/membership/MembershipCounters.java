package ochretiller.fleet.membership;

/**
 * Counts of what happened since the start. Written by the thread that owns the protocol; another
 * thread may read them and see them a little late.
 */
public final class MembershipCounters {
    private final long[] counts = new long[MembershipCounter.values().length];

    MembershipCounters() {}

    /** The present count. */
    public long get(MembershipCounter counter) {
        return counts[counter.ordinal()];
    }

    void increment(MembershipCounter counter) {
        counts[counter.ordinal()]++;
    }
}
