package ochretiller.store;

/**
 * What the index needs of a record beside its key and metadata. Immutable.
 *
 * @param sequence of two records of one key the one with the higher number holds
 * @param kind {@link RecordFormat#PUT}, {@link RecordFormat#TOMBSTONE}, {@link RecordFormat#SEAL},
 *     or a kind of a later release
 * @param expiresAtMillis end of its life, on the store's clock
 * @param recordBytes bytes of the whole record in its segment, frame included
 */
record RecordAttributes(long sequence, byte kind, long expiresAtMillis, int recordBytes) {
    /** Whether the record gives a key a value or removes it; the index passes over all others. */
    boolean concernsKey() {
        return kind == RecordFormat.PUT || kind == RecordFormat.TOMBSTONE;
    }
}
