package ochretiller.store;

/** Result of checking the bytes at one position of a segment. */
enum RecordStatus {
    /** A complete record whose checksum matches. */
    VALID,
    /** The bytes end before the record does: a torn write, never acknowledged. */
    TRUNCATED,
    /** The bytes are complete but not a valid record. */
    CORRUPT
}
