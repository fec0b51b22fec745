package ochretiller.audit;

/**
 * Something that happened on a server: a change of version, a fence, a start. Immutable.
 *
 * @param version the version that it is about, 0 for none
 * @param atMillis Unix milliseconds
 * @param text what it was, for people; {@link AuditEventKind#PEER_AUDIT_WITNESSED} has a form of
 *     its own
 */
public record AuditEvent(AuditEventKind kind, long version, long atMillis, String text)
        implements AuditRecord {
    /** Longest text, in characters. */
    public static final int MAX_TEXT_CHARS = 300;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException where the text is too long or the version negative
     */
    public AuditEvent {
        if (text.length() > MAX_TEXT_CHARS || version < 0) {
            throw new IllegalArgumentException("no event");
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
