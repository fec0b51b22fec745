package ochretiller.audit;

/**
 * An event on a server, such as a version change, a fence or a start. Immutable.
 *
 * @param version number of the version concerned, 0 for none
 * @param atMillis time of the event, Unix milliseconds
 * @param text description for operators; {@link AuditEventKind#PEER_AUDIT_WITNESSED} defines its
 *     own format
 */
public record AuditEvent(AuditEventKind kind, long version, long atMillis, String text)
        implements AuditRecord {
    /** Maximum length of the text in characters. */
    public static final int MAX_TEXT_CHARS = 300;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if the text is too long or the version negative
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
