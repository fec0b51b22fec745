package ochretiller.audit;

/** Outcomes that {@link VersionUsage} counts; an invocation may have several of them. */
public enum InvocationOutcome {
    /** The invocation was received. */
    RECEIVED,
    /** A run of the invocation was started. */
    EXECUTED,
    /** The invocation was answered with an earlier result. */
    REPLAYED,
    /** The invocation was answered with a request to retry later. */
    THROTTLED,
    /** The invocation was answered with an error. */
    ERRORED
}
