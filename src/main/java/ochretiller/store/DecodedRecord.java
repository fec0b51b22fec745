package ochretiller.store;

/**
 * A record decoded from a buffer; the value is not copied from there. Immutable if its arrays are
 * not modified.
 *
 * @param attributes sequence, kind, expiry and size
 * @param key the key's bytes, empty for a seal
 * @param metadata the bytes that the index keeps in memory
 * @param valueOffset offset of the value, in bytes from the start of the record
 * @param valueLength length of the value in bytes
 */
record DecodedRecord(
        RecordAttributes attributes,
        byte[] key,
        byte[] metadata,
        int valueOffset,
        int valueLength) {}
