package ochretiller.store;

/**
 * A key with a value, and where its record lies. Immutable, as long as nobody writes to its arrays.
 *
 * @param metadata the bytes that are held in memory
 * @param expiresAtMillis end of its life, on the store's clock
 * @param file name of its segment's file
 * @param offset where its record begins in the file, bytes
 * @param bytes bytes of its record
 */
public record StoredEntry(
        byte[] key, byte[] metadata, long expiresAtMillis, String file, int offset, int bytes) {}
