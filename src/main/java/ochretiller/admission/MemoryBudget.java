package ochretiller.admission;

/**
 * Memory of the open invocations, in kilobytes. Stands for the rule "nothing falls over": the
 * process dies when invocations, runs and idempotency entries need more than it has.
 */
final class MemoryBudget {
    /** Share of the memory that is used; the rest is left for what is read at any moment. */
    private static final double USABLE_SHARE = 0.9;

    private final double limitKb;
    private final double runFactor;
    private double usedKb;

    /**
     * Creates an unused budget.
     *
     * @param memoryKb memory of the server, kilobytes
     * @param runFactor how many times its queued memory an invocation takes while it runs
     */
    MemoryBudget(double memoryKb, double runFactor) {
        this.limitKb = memoryKb * USABLE_SHARE;
        this.runFactor = runFactor;
    }

    /** Takes so much from the budget, whether it fits or not: what was read is already there. */
    void reserve(double kb) {
        usedKb += kb;
    }

    /** Gives back what an invocation took, which is more once its run was started. */
    void release(double queuedKb, boolean wasStarted) {
        usedKb -= wasStarted ? queuedKb * runFactor : queuedKb;
    }

    /** Returns what an invocation takes on top of its queued memory while it runs. */
    double runOverheadKb(double queuedKb) {
        return queuedKb * (runFactor - 1);
    }

    /** Returns whether so much more fits beside the idempotency entries. */
    boolean fits(double moreKb, double idempotencyKb) {
        return usedKb + idempotencyKb + moreKb <= limitKb;
    }
}
