package ochretiller.frontend;

/** How a request attempt was answered. */
public enum AnswerKind {
    /** With the result of its own run. */
    SUCCEEDED,
    /** With the stored result of an earlier attempt that had the same idempotency key. */
    REPLAYED,
    /** It was rejected before it ran, and the client may retry. */
    THROTTLED,
    /** With an error. */
    ERRORED
}
