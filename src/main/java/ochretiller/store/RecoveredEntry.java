package ochretiller.store;

/**
 * What a start has found under a key.
 *
 * @param metadata the bytes that are kept in memory
 * @param expiresAtMillis when it is past its time, store's time in milliseconds
 */
public record RecoveredEntry(byte[] key, byte[] metadata, long expiresAtMillis) {}
