package ochretiller.store;

/** Receives keys with their values, on the thread that requested them. */
@FunctionalInterface
public interface ValueVisitor {
    /**
     * Visits one key.
     *
     * @param expiresAtMillis expiry time, on the store's clock
     */
    void visit(byte[] key, byte[] value, long expiresAtMillis);
}
