package ochretiller.fleet.replication;

/**
 * Adaptive limit on claims in flight: additive increase while claims are granted in time and fill
 * the limit, halved when one gets no majority (AIMD, as in TCP congestion avoidance, RFC 5681). Not
 * thread-safe.
 */
final class ClaimConcurrencyLimit {
    private static final int INITIAL = 32;
    private static final int MIN = 2;
    private static final int MAX = 4096;

    /** Growth of the limit over a full round of timely claims. */
    private static final int GROWTH_PER_ROUND = 4;

    private double limit = INITIAL;
    private int inFlight;

    boolean hasCapacity() {
        return inFlight < (int) limit;
    }

    void started() {
        inFlight++;
    }

    /**
     * @param timely whether a majority answered in time, with whatever result
     */
    void finished(boolean timely) {
        boolean full = inFlight >= (int) limit - 1;
        inFlight--;
        if (!timely) {
            limit = Math.max(MIN, limit / 2);
        } else if (full) {
            limit = Math.min(MAX, limit + 1 / limit * GROWTH_PER_ROUND);
        }
    }

    double limit() {
        return limit;
    }
}
