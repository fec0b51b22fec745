package ochretiller.admission;

/**
 * Memory of the open invocations, in kilobytes. Prevents the process from running out of memory for
 * invocations, runs and idempotency entries.
 */
final class MemoryBudget {
    /** Share of the memory that may be used; the rest is reserved for requests being read. */
    private static final double USABLE_SHARE = 0.9;

    private final double limitKb;
    private final double runFactor;
    private double usedKb;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param memoryKb memory of the server, kilobytes
     * @param runFactor memory of a running invocation, as a multiple of its memory while queued
     */
    MemoryBudget(double memoryKb, double runFactor) {
        this.limitKb = memoryKb * USABLE_SHARE;
        this.runFactor = runFactor;
    }

    /** Reserves memory, even above the limit: an invocation that was read already uses it. */
    void reserve(double kb) {
        usedKb += kb;
    }

    /** Releases the memory of an invocation, including that of its run if it was started. */
    void release(double queuedKb, boolean wasStarted) {
        usedKb -= wasStarted ? queuedKb * runFactor : queuedKb;
    }

    /** Returns the memory that a run needs in addition to the queued memory, kilobytes. */
    double runOverheadKb(double queuedKb) {
        return queuedKb * (runFactor - 1);
    }

    /** Returns whether {@code moreKb} fits in addition to the idempotency entries. */
    boolean fits(double moreKb, double idempotencyKb) {
        return usedKb + idempotencyKb + moreKb <= limitKb;
    }
}
