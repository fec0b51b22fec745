package ochretiller.store;

/**
 * A key with a value, and the position of its record. Immutable if its arrays are not modified.
 *
 * @param metadata the bytes that the index keeps in memory
 * @param expiresAtMillis expiry time, on the store's clock
 * @param file name of its segment's file
 * @param offset position of its record in the file, in bytes
 * @param bytes size of its record in bytes
 */
public record StoredEntry(
        byte[] key, byte[] metadata, long expiresAtMillis, String file, int offset, int bytes) {}
