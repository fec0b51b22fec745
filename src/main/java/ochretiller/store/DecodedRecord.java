package ochretiller.store;

/**
 * A record as it lies in a buffer; its value is left there. Immutable, as long as nobody writes to
 * its arrays.
 *
 * @param attributes sequence, kind, expiry and size
 * @param key the key's bytes, empty for a seal
 * @param metadata the bytes that the index holds in memory
 * @param valueOffset where the value begins, in bytes from the start of the record
 * @param valueLength bytes of the value
 */
record DecodedRecord(
        RecordAttributes attributes,
        byte[] key,
        byte[] metadata,
        int valueOffset,
        int valueLength) {}
