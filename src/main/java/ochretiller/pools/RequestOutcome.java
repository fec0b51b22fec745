package ochretiller.pools;

/** How a request to a worker ended, as far as it matters for choosing workers. */
public enum RequestOutcome {
    /** The worker answered, with or without success of the request itself. */
    ANSWERED("ANSWERED"),
    /** The worker reported a failure, or its answer was malformed: the request may have run. */
    FAILED("FAILED"),
    /** No answer arrived in time: the request may have run. */
    TIMED_OUT("SILENT"),
    /** The request was cancelled before its deadline: it may have run. */
    CANCELLED("GIVEN_UP"),
    /** No connection was established, or nothing was written: the request never ran. */
    NEVER_STARTED("NEVER_BEGUN");

    private final String externalName;

    RequestOutcome(String externalName) {
        this.externalName = externalName;
    }

    /** Returns the name in log lines, which stays the same if the constant is renamed. */
    public String externalName() {
        return externalName;
    }

    /** Returns whether another worker may get the request, because it never ran. */
    public boolean mayRetryElsewhere() {
        return this == NEVER_STARTED;
    }

    /** Returns whether this counts as a success of the worker. */
    boolean isSuccess() {
        return this == ANSWERED;
    }
}
