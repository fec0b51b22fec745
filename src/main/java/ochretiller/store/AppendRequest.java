package ochretiller.store;

/**
 * A record to be appended. Immutable if its arrays are not modified.
 *
 * @param kind {@link RecordFormat#PUT} or {@link RecordFormat#TOMBSTONE}
 * @param metadata bytes that the index keeps in memory
 * @param value bytes that are stored on disk only
 * @param expiresAtMillis expiry time of the record, on the store's clock
 * @param isNewKey whether it counts as a new key towards the limits while it is queued
 * @param callback receives the result, on the store's callback executor
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

    /** Creates a request that removes a key by a tombstone with this expiry time. */
    static AppendRequest tombstone(byte[] key, long expiresAtMillis, AppendCallback callback) {
        StoreKey storeKey = new StoreKey(key);
        return new AppendRequest(
                RecordFormat.TOMBSTONE, storeKey, EMPTY, EMPTY, expiresAtMillis, false, callback);
    }

    /** Size of the record in its segment, in bytes. */
    int recordBytes() {
        return RecordFormat.recordBytes(key.length(), metadata.length, value.length);
    }

    /** Returns the attributes of the record under this sequence number. */
    RecordAttributes attributes(long sequence) {
        return new RecordAttributes(sequence, kind, expiresAtMillis, recordBytes());
    }
}
