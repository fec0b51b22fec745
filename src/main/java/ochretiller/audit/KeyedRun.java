package ochretiller.audit;

/**
 * A run of a keyed invocation, recorded so that the versions under which a token ran can be looked
 * up. Immutable.
 *
 * @param version number of the active version
 * @param atMillis start of the run, Unix milliseconds
 * @param token idempotency key sent by the client
 */
public record KeyedRun(long version, long atMillis, String token) implements AuditRecord {
    /** Maximum length of a token in characters. */
    public static final int MAX_TOKEN_CHARS = 200;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if the token is empty or too long, or the version is
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
