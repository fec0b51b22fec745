package ochretiller.store;

/**
 * A record that waits to be appended. Immutable, as long as nobody writes to its arrays.
 *
 * @param kind {@link RecordFormat#PUT} or {@link RecordFormat#TOMBSTONE}
 * @param metadata bytes that the index holds in memory
 * @param value bytes that are on disk only
 * @param expiresAtMillis end of the record's life, on the store's clock
 * @param isNewKey whether it counts against the room for new keys while it waits
 * @param callback receives the outcome, on the store's callback executor
 */
record AppendRequest(
        byte kind,
        StoreKey key,
        byte[] metadata,
        byte[] value,
        long expiresAtMillis,
        boolean isNewKey,
        AppendCallback callback)
        implements WriterTask {
    private static final byte[] EMPTY = new byte[0];

    /** A request that removes a key; the tombstone stays until then. */
    static AppendRequest tombstone(byte[] key, long expiresAtMillis, AppendCallback callback) {
        StoreKey storeKey = new StoreKey(key);
        return new AppendRequest(
                RecordFormat.TOMBSTONE, storeKey, EMPTY, EMPTY, expiresAtMillis, false, callback);
    }

    /** Bytes of the record in its segment. */
    int recordBytes() {
        return RecordFormat.recordBytes(key.length(), metadata.length, value.length);
    }

    /** What the index needs of the record once it has this sequence number. */
    RecordAttributes attributes(long sequence) {
        return new RecordAttributes(sequence, kind, expiresAtMillis, recordBytes());
    }
}
