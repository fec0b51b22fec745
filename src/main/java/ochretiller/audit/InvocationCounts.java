package ochretiller.audit;

/**
 * Numbers of invocations of one operation by outcome. Immutable.
 *
 * @param received invocations received
 * @param executed runs started
 * @param replayed invocations answered with an earlier result
 * @param throttled invocations answered with a request to retry later
 * @param errored invocations answered with an error
 */
public record InvocationCounts(
        long received, long executed, long replayed, long throttled, long errored) {
    static final InvocationCounts NONE = new InvocationCounts(0, 0, 0, 0, 0);

    /**
     * Checks that no count is negative.
     *
     * @throws IllegalArgumentException if one is
     */
    public InvocationCounts {
        if (received < 0 || executed < 0 || replayed < 0 || throttled < 0 || errored < 0) {
            throw new IllegalArgumentException("no tally");
        }
    }

    InvocationCounts plus(InvocationCounts other) {
        return new InvocationCounts(
                received + other.received,
                executed + other.executed,
                replayed + other.replayed,
                throttled + other.throttled,
                errored + other.errored);
    }

    /** Returns these counts with this outcome counted once more. */
    InvocationCounts plusOne(InvocationOutcome outcome) {
        return plus(
                switch (outcome) {
                    case RECEIVED -> new InvocationCounts(1, 0, 0, 0, 0);
                    case EXECUTED -> new InvocationCounts(0, 1, 0, 0, 0);
                    case REPLAYED -> new InvocationCounts(0, 0, 1, 0, 0);
                    case THROTTLED -> new InvocationCounts(0, 0, 0, 1, 0);
                    case ERRORED -> new InvocationCounts(0, 0, 0, 0, 1);
                });
    }
}
