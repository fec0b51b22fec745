package ochretiller.pools;

/** How a request to a worker ended, as far as the choice of workers depends on it. */
public enum RequestOutcome {
    /** The worker answered, whatever the answer says about the request. */
    ANSWERED("ANSWERED"),
    /** The worker reported a failure, or its answer was malformed: the request may have run. */
    FAILED("FAILED"),
    /** No answer came in time: the request may have run. */
    SILENT("SILENT"),
    /** The request was cancelled before its deadline: it may have run. */
    GIVEN_UP("GIVEN_UP"),
    /** No connection was established, or nothing was written: the request never ran. */
    NEVER_BEGUN("NEVER_BEGUN");

    private final String externalName;

    RequestOutcome(String externalName) {
        this.externalName = externalName;
    }

    /** The word in log lines, which does not follow the name of the constant. */
    public String externalName() {
        return externalName;
    }

    /** Whether another worker may get the request, which never ran. */
    public boolean mayGoElsewhere() {
        return this == NEVER_BEGUN;
    }

    /** Whether the worker counts as healthy by this. */
    boolean good() {
        return this == ANSWERED;
    }
}
