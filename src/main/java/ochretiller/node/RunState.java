package ochretiller.node;

/** States of a run between its admission and the answer to its client. */
enum RunState {
    /** The admission controller has admitted it. */
    ADMITTED,
    /** It waits for the fleet's decision on the claim to its idempotency key. */
    CLAIMING,
    /** It waits until its in-flight marker is durable. */
    WRITING_MARKER,
    /** A backend executes it. */
    EXECUTING,
    /** It has finished; the answer waits until the outcome is stored for retries. */
    STORING_OUTCOME,
    /** Its answer was sent to the client. */
    ANSWERED,
    /** It was abandoned before it reached a backend. */
    NOT_DISPATCHED;

    /** Returns whether a run may enter this state from {@code previous}. */
    boolean canFollow(RunState previous) {
        return switch (this) {
            case ADMITTED -> false;
            case CLAIMING -> previous == ADMITTED;
            case WRITING_MARKER -> previous == ADMITTED || previous == CLAIMING;
            case EXECUTING -> previous == WRITING_MARKER;
            case STORING_OUTCOME -> previous == EXECUTING;
            case ANSWERED -> previous == STORING_OUTCOME;
            case NOT_DISPATCHED ->
                    previous == ADMITTED || previous == CLAIMING || previous == WRITING_MARKER;
        };
    }
}
