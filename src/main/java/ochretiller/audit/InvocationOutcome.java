package ochretiller.audit;

/** What {@link VersionUsage} counts of an invocation; several may apply to one. */
public enum InvocationOutcome {
    /** It was read. */
    RECEIVED,
    /** Its run was begun. */
    EXECUTED,
    /** It was answered with an earlier result. */
    REPLAYED,
    /** It was asked to come again. */
    THROTTLED,
    /** It was answered with an error. */
    ERRORED
}
