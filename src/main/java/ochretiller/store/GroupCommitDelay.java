package ochretiller.store;

/**
 * Decides how long a group commit waits for more appends before it is forced. Callers pass
 * durations; confined to the writer thread.
 *
 * <p>Callers tend to send their next append right after the previous one is acknowledged. A force
 * that starts with the first of these appends leaves the others to the next force, so groups are
 * half as large as they could be. The next group therefore waits briefly for as many appends as the
 * last force acknowledged plus those queued by then; if they do not arrive, a growing number of
 * groups skip the wait.
 */
final class GroupCommitDelay {
    /**
     * Fraction of the average force time that a group may wait, which bounds the time lost if no
     * append arrives.
     */
    private static final double MAX_WAIT_FRACTION = 0.25;

    /** Weight of the last force in the moving average of force times. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /** Longest wait in nanoseconds, which keeps the wait short on a slow disk. */
    private static final long MAX_WAIT_NANOS = 500_000;

    /**
     * Maximum number of groups that skip the wait after a wait timed out; each further timeout
     * doubles their number.
     */
    private static final int MAX_SKIPPED_GROUPS = 64;

    private int expectedAppends = 1;
    private double averageForceNanos;
    private int skipsAfterTimeout;
    private int remainingSkips;

    /** Number of appends that the next group waits for; 1 means that it does not wait. */
    int expectedAppends() {
        return remainingSkips > 0 ? 1 : expectedAppends;
    }

    /** Longest time to wait for them, in nanoseconds. */
    long maxWaitNanos() {
        return (long) Math.min(MAX_WAIT_NANOS, averageForceNanos * MAX_WAIT_FRACTION);
    }

    /** Reports the number of appends of a group after its wait, if it had one. */
    void waitEnded(int groupSize) {
        if (remainingSkips > 0) {
            remainingSkips--;
            return;
        }
        boolean timedOut = expectedAppends > 1 && groupSize < expectedAppends;
        if (timedOut) {
            skipsAfterTimeout = Math.min(MAX_SKIPPED_GROUPS, Math.max(1, skipsAfterTimeout * 2));
            remainingSkips = skipsAfterTimeout;
        } else {
            skipsAfterTimeout = 0;
        }
    }

    /**
     * Reports that a group was forced.
     *
     * @param acknowledged number of appends in the group
     * @param queued number of appends queued by then
     * @param forceNanos duration of the write and the force, in nanoseconds
     */
    void forceCompleted(int acknowledged, int queued, long forceNanos) {
        expectedAppends = acknowledged + queued;
        averageForceNanos =
                averageForceNanos == 0
                        ? forceNanos
                        : averageForceNanos + NEW_SAMPLE_WEIGHT * (forceNanos - averageForceNanos);
    }
}
