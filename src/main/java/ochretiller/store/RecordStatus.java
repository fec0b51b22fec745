package ochretiller.store;

/** How the bytes at one position of a segment read. */
enum RecordStatus {
    /** A whole record whose checksum matches. */
    VALID,
    /** The bytes end before the record does: a torn write, never acknowledged. */
    TRUNCATED,
    /** All bytes are there, and they are no record. */
    CORRUPT
}
