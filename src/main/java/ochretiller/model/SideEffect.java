package ochretiller.model;

/** What a second run of the same request would do. */
public enum SideEffect {
    /** Nothing: it may run any number of times. */
    IDEMPOTENT,
    /**
     * A second effect; requests carry an idempotency key by which retries are recognised within a
     * window.
     */
    KEYED,
    /** A second effect, and retries cannot be recognised: it must never run twice. */
    NON_IDEMPOTENT
}
