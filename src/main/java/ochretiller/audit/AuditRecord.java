package ochretiller.audit;

/** One record of a server's audit. Immutable. Times are Unix milliseconds of the server's clock. */
public sealed interface AuditRecord permits VersionPeriod, AuditEvent, KeyedRun {
    /** Returns the start of the recorded period, or the time of the recorded event. */
    long startMillis();

    /** Returns the end of the recorded period; for an event equal to {@link #startMillis}. */
    long endMillis();
}
