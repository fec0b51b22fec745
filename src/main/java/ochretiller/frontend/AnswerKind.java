package ochretiller.frontend;

/** The kind of response that a request attempt received. */
public enum AnswerKind {
    /** The result of the attempt's own run. */
    SUCCEEDED,
    /** The stored result of an earlier attempt with the same idempotency key. */
    REPLAYED,
    /** Rejected before it ran; the client may retry. */
    THROTTLED,
    /** An error. */
    ERRORED
}
