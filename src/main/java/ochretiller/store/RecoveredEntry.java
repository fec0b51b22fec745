package ochretiller.store;

/**
 * A live key found by recovery. Immutable if its arrays are not modified.
 *
 * @param metadata the bytes that the index keeps in memory
 * @param expiresAtMillis expiry time, on the store's clock
 */
public record RecoveredEntry(byte[] key, byte[] metadata, long expiresAtMillis) {}
