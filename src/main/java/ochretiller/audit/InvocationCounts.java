package ochretiller.audit;

/**
 * How many invocations of one operation came to which end. Immutable.
 *
 * @param received invocations read
 * @param executed runs begun
 * @param replayed answered with an earlier result
 * @param throttled asked to come again
 * @param errored answered with an error
 */
public record InvocationCounts(
        long received, long executed, long replayed, long throttled, long errored) {
    static final InvocationCounts NONE = new InvocationCounts(0, 0, 0, 0, 0);

    /**
     * Checks that no count is negative.
     *
     * @throws IllegalArgumentException where one is
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

    /** The same with one more of this outcome. */
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
