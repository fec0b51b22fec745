package ochretiller.frontend;

/** Why a try is errored, for fronts that tell it in their own terms. */
public enum FailureReason {
    /** Its run failed, or may have had its effect and its result is not to be had. */
    FAILED("failed"),
    /** It could not be answered with a result by its due time. */
    GIVEN_UP("given up"),
    /** It repeats one that still ran when this had to be answered. */
    IN_FLIGHT("its forerunner is still in flight"),
    OTHER_BODY("another request is known under this token"),
    NO_RESULT("no result to replay"),
    /** A former process has begun its run, and nobody has told of its end. */
    UNKNOWN_END("the end of its run is not known"),
    RID_IN_USE("rid is in use");

    /** In the project's own words, without anything that a peer sent. */
    public final String text;

    FailureReason(String text) {
        this.text = text;
    }
}
