package ochretiller.store;

/**
 * Decides how long a group commit waits for more appends before it is forced. Time is handed in;
 * owned by the writer thread.
 *
 * <p>Callers tend to send their next append right after the acknowledgement of the last one. A
 * force that starts with the first of them leaves the others to the next force, so groups are half
 * as large as they could be. The next group therefore waits briefly for as many appends as the last
 * force acknowledged and found queued; where they do not come, a growing number of groups does not
 * wait at all.
 */
final class GroupCommitDelay {
    /**
     * Share of the usual force time that a group may wait; the most that is lost where nobody
     * comes.
     */
    private static final double MAX_WAIT_SHARE = 0.25;

    /** Weight of the last force in the moving average of force times. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /**
     * Longest wait in nanoseconds, so that a slow disk does not turn it into a delay of its own.
     */
    private static final long MAX_WAIT_NANOS = 500_000;

    /** Most groups that do not wait after waits in vain; each wait in vain doubles their number. */
    private static final int MAX_SKIPPED_GROUPS = 64;

    private int expectedAppends = 1;
    private double averageForceNanos;
    private int skipsAfterLastWait;
    private int remainingSkips;

    /** Size that the next group waits for; 1 means that it does not wait. */
    int expectedAppends() {
        return remainingSkips > 0 ? 1 : expectedAppends;
    }

    /** Longest time to wait for them, nanoseconds. */
    long maxWaitNanos() {
        return (long) Math.min(MAX_WAIT_NANOS, averageForceNanos * MAX_WAIT_SHARE);
    }

    /** The wait is over, or there was none; the group has this many appends. */
    void waitEnded(int groupSize) {
        if (remainingSkips > 0) {
            remainingSkips--;
            return;
        }
        boolean waitedInVain = expectedAppends > 1 && groupSize < expectedAppends;
        if (waitedInVain) {
            skipsAfterLastWait = Math.min(MAX_SKIPPED_GROUPS, Math.max(1, skipsAfterLastWait * 2));
            remainingSkips = skipsAfterLastWait;
        } else {
            skipsAfterLastWait = 0;
        }
    }

    /**
     * A group was forced.
     *
     * @param acknowledged appends of the group
     * @param queued appends that are waiting already
     * @param forceNanos duration of the write and the force
     */
    void forceCompleted(int acknowledged, int queued, long forceNanos) {
        expectedAppends = acknowledged + queued;
        averageForceNanos =
                averageForceNanos == 0
                        ? forceNanos
                        : averageForceNanos + NEW_SAMPLE_WEIGHT * (forceNanos - averageForceNanos);
    }
}
