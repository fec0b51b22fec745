package ochretiller.fleet.membership;

/**
 * Counts of protocol events since the start of the process. Written by the thread that owns the
 * protocol without synchronization; other threads may read slightly outdated values.
 */
public final class MembershipCounters {
    private final long[] counts = new long[MembershipCounter.values().length];

    MembershipCounters() {}

    /** The current count. */
    public long get(MembershipCounter counter) {
        return counts[counter.ordinal()];
    }

    void increment(MembershipCounter counter) {
        counts[counter.ordinal()]++;
    }
}
