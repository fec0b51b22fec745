package ochretiller.model;

/** Effect of executing the same request a second time. */
public enum SideEffect {
    /** None: the request may be executed any number of times. */
    IDEMPOTENT,
    /**
     * A second effect; requests carry an idempotency key by which retries are recognized within a
     * window.
     */
    KEYED,
    /** A second effect; retries cannot be recognized, so a request must never run twice. */
    NON_IDEMPOTENT
}
