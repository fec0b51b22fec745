package ochretiller.store;

/** Result of one append, as passed to its {@link AppendCallback}. */
public enum AppendResult {
    /** The record is on stable storage and survives a power loss. */
    DURABLE,
    /**
     * The write or the force failed. The record may or may not be on the medium, and the recovery
     * of a later start may find it; the store never retries it, since after a failed {@code fsync}
     * the state of the affected pages is unknown.
     */
    UNKNOWN,
    /** The append would exceed the configured limits; nothing was written. */
    CAPACITY_EXCEEDED,
    /**
     * The disk failed earlier and no {@link Store#probe probe} has succeeded since, or the store is
     * closing; nothing was written.
     */
    UNAVAILABLE,
    /** The queue of the writer thread is full; nothing was written. */
    QUEUE_FULL
}
