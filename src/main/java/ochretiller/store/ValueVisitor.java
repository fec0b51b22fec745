package ochretiller.store;

/** Receives keys with their values, on the thread that asked for them. */
@FunctionalInterface
public interface ValueVisitor {
    /**
     * One key.
     *
     * @param expiresAtMillis end of its life, on the store's clock
     */
    void visit(byte[] key, byte[] value, long expiresAtMillis);
}
