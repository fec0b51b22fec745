package ochretiller.fleet.replication;

/**
 * Budget for retries and hedged requests. Each claim adds to it, so that extra load stays a bounded
 * share of the regular load even while replicas are slow or unreachable. Not thread-safe.
 */
final class RetryBudget {
    /** Extra requests that each claim adds to the budget. */
    private static final double DEPOSIT_PER_CLAIM = 1.0;

    /** Maximum number of extra requests in the budget, which starts full. */
    private static final double CAPACITY = 256;

    private double available = CAPACITY;

    void depositForClaim() {
        available = Math.min(CAPACITY, available + DEPOSIT_PER_CLAIM);
    }

    /** Takes one extra request from the budget; returns false if it is exhausted. */
    boolean tryWithdraw() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
