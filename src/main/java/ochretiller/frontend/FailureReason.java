package ochretiller.frontend;

/** Why an attempt is answered with an error. Each frontend has its own wire form for these. */
public enum FailureReason {
    /** The run failed, or its result is lost although it may have taken effect. */
    FAILED("failed"),
    /** The attempt could not be answered before its deadline. */
    DEADLINE_EXCEEDED("given up"),
    /** The original attempt with this key was still running when the retry had to be answered. */
    IN_FLIGHT("its forerunner is still in flight"),
    /** The idempotency key was used before with a different request body. */
    BODY_MISMATCH("another request is known under this token"),
    /** The original attempt succeeded, but its result is no longer stored. */
    RESULT_LOST("no result to replay"),
    /** A previous process started the run, and the outcome was never reported. */
    UNKNOWN_END("the end of its run is not known"),
    /** Another open attempt has the same request id. */
    RID_IN_USE("rid is in use");

    /** The message on the wire; it never contains input of a peer, so it needs no escaping. */
    public final String wireMessage;

    FailureReason(String text) {
        this.wireMessage = text;
    }
}
