package ochretiller.fleet.replication;

/**
 * Adaptive limit on claims in flight (AIMD, as in TCP congestion avoidance, RFC 5681): it increases
 * additively while claims that fill the limit are answered in time, and is halved when a claim gets
 * no majority. Not thread-safe.
 */
final class ClaimConcurrencyLimit {
    private static final int INITIAL_LIMIT = 32;
    private static final int MIN_LIMIT = 2;
    private static final int MAX_LIMIT = 4096;

    /** Increase of the limit per full window of claims that are answered in time. */
    private static final int INCREASE_PER_WINDOW = 4;

    private double limit = INITIAL_LIMIT;
    private int inFlight;

    boolean hasCapacity() {
        return inFlight < (int) limit;
    }

    void recordStart() {
        inFlight++;
    }

    /**
     * @param answeredInTime whether a majority answered in time, whatever the decision
     */
    void recordFinish(boolean answeredInTime) {
        boolean full = inFlight >= (int) limit - 1;
        inFlight--;
        if (!answeredInTime) {
            limit = Math.max(MIN_LIMIT, limit / 2);
        } else if (full) {
            limit = Math.min(MAX_LIMIT, limit + 1 / limit * INCREASE_PER_WINDOW);
        }
    }

    double limit() {
        return limit;
    }
}
