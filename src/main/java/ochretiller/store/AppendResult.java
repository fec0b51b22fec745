package ochretiller.store;

/** What became of an append. */
public enum AppendResult {
    /** It is on the medium and outlives a power cut. */
    DURABLE,
    /** The disk failed at it: it may be on the medium or not, and a later start may find it. */
    UNKNOWN,
    /** The bounds leave no room; nothing was written. */
    CAPACITY_EXCEEDED,
    /** The disk has failed before and was not found well since; nothing was written. */
    UNAVAILABLE,
    /** Too much waits for the disk already; nothing was written. */
    QUEUE_FULL
}
