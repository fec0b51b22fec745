package ochretiller.audit;

/**
 * A run of a keyed invocation, so that it can be told later under which version a token ran.
 * Immutable.
 *
 * @param version the version in force
 * @param atMillis when it was begun, Unix milliseconds
 * @param token the idempotency key of its client
 */
public record KeyedRun(long version, long atMillis, String token) implements AuditRecord {
    /** Longest token, in characters. */
    public static final int MAX_TOKEN_CHARS = 200;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException where the token is empty or too long, or the version
     *     negative
     */
    public KeyedRun {
        if (token.isEmpty() || token.length() > MAX_TOKEN_CHARS || version < 0) {
            throw new IllegalArgumentException("no run");
        }
    }

    @Override
    public long startMillis() {
        return atMillis;
    }

    @Override
    public long endMillis() {
        return atMillis;
    }
}
