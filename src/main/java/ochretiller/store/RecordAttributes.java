package ochretiller.store;

/**
 * Attributes of a record that the index needs in addition to its key and metadata. Immutable.
 *
 * @param sequence sequence number; of two records of one key, the higher one is current
 * @param kind {@link RecordFormat#PUT}, {@link RecordFormat#TOMBSTONE}, {@link RecordFormat#SEAL},
 *     or a kind that only later releases know
 * @param expiresAtMillis expiry time, on the store's clock
 * @param recordBytes size of the record in its segment in bytes, including the frame
 */
record RecordAttributes(long sequence, byte kind, long expiresAtMillis, int recordBytes) {
    /** Returns whether the record sets or removes a key; the index ignores all others. */
    boolean concernsKey() {
        return kind == RecordFormat.PUT || kind == RecordFormat.TOMBSTONE;
    }
}
