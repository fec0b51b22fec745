package ochretiller.fleet.replication;

/**
 * Budget for retries and hedged requests, earned by first requests, so that extra load stays a
 * bounded share of the regular load also while replicas are slow or gone. Not thread-safe.
 */
final class RetryBudget {
    /** Extra requests that each claim earns. */
    private static final double EARNED_PER_CLAIM = 1.0;

    /** Extra requests that are saved up at most; the budget starts full. */
    private static final double CAPACITY = 256;

    private double available = CAPACITY;

    void earnForClaim() {
        available = Math.min(CAPACITY, available + EARNED_PER_CLAIM);
    }

    /** Takes one extra request from the budget, if there is one. */
    boolean trySpend() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
