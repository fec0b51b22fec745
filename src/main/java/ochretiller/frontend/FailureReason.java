package ochretiller.frontend;

/** Why an attempt is answered with an error; each frontend has its own wire form for these. */
public enum FailureReason {
    /** The run failed, or it may have had its effect and its result is lost. */
    FAILED("failed"),
    /** The attempt could not be answered before its deadline. */
    GIVEN_UP("given up"),
    /**
     * The original attempt with this idempotency key still ran when the retry had to be answered.
     */
    IN_FLIGHT("its forerunner is still in flight"),
    /** Another request body was sent under the same idempotency key. */
    OTHER_BODY("another request is known under this token"),
    /** The original attempt succeeded, but its result is no longer stored. */
    NO_RESULT("no result to replay"),
    /** A previous process started the run, and its outcome was never reported. */
    UNKNOWN_END("the end of its run is not known"),
    /** Another open attempt has the same request id. */
    RID_IN_USE("rid is in use");

    /** The message on the wire; it contains nothing that a peer sent. */
    public final String text;

    FailureReason(String text) {
        this.text = text;
    }
}
