package ochretiller.node;

/** How far a run has come between its admission and the answer to its client. */
enum RunState {
    /** Admission has decided that it runs. */
    ADMITTED,
    /** It waits until the fleet has granted the claim on its idempotency key. */
    CLAIMING,
    /** It waits until its in-flight marker is durable. */
    WRITING_MARKER,
    /** A backend executes it. */
    EXECUTING,
    /** It has ended; the answer waits until the outcome is stored where retries look for it. */
    STORING_OUTCOME,
    /** Its client has the answer. */
    ANSWERED,
    /** It was abandoned before it reached a backend. */
    NOT_DISPATCHED;

    /** Returns whether a run may come from {@code previous} into this state. */
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
