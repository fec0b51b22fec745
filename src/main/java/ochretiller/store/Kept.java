package ochretiller.store;

/**
 * What a start has found under a key.
 *
 * @param meta the bytes that are kept in memory
 * @param expires when it is past its time, store's time in milliseconds
 */
public record Kept(byte[] key, byte[] meta, long expires) {}
