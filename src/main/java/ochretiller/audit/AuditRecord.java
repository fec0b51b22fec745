package ochretiller.audit;

/**
 * One record of a server's audit. Immutable. Times are Unix milliseconds, as the server's clock had
 * them.
 */
public sealed interface AuditRecord permits VersionPeriod, AuditEvent, KeyedRun {
    /** When what it tells of began. */
    long startMillis();

    /** When what it tells of ended; for an instant the same as {@link #startMillis}. */
    long endMillis();
}
