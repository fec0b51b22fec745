package ochretiller.store;

/**
 * A live key that recovery has found. Immutable, as long as nobody writes to its arrays.
 *
 * @param metadata the bytes that are held in memory
 * @param expiresAtMillis end of its life, on the store's clock
 */
public record RecoveredEntry(byte[] key, byte[] metadata, long expiresAtMillis) {}
