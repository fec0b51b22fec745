package ochretiller.pools;

/** How a request to a worker ended, as far as its pool must know. */
public enum RequestOutcome {
    /** It answered, whatever the answer said of the request itself. */
    ANSWERED("ANSWERED"),
    /** It answered that it failed, or spoilt its answer: the request may have run. */
    FAILED("FAILED"),
    /** Nothing came in time: the request may have run. */
    SILENT("SILENT"),
    /** Its caller stopped waiting for it before its time was over: it may have run. */
    GIVEN_UP("GIVEN_UP"),
    /**
     * The connection was refused, or nothing of the request was written: it is proven not to have
     * begun.
     */
    NEVER_BEGUN("NEVER_BEGUN");

    private final String externalName;

    RequestOutcome(String externalName) {
        this.externalName = externalName;
    }

    /** The word by which log lines name it; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }

    /** Whether the request may be tried elsewhere; one that may have run never is. */
    public boolean mayGoElsewhere() {
        return this == NEVER_BEGUN;
    }

    boolean good() {
        return this == ANSWERED;
    }
}
