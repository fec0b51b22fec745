package ochretiller.audit;

/** Status of a server during one {@link TimelineInterval}. */
public enum VersionStatus {
    /** The version was active. */
    ACTIVE("ACTED"),
    /** The version was active, but keyed invocations were not admitted. */
    FENCED("SHUT_OUT"),
    /** Nothing is recorded: the process was down, or its records are lost. */
    UNKNOWN("UNKNOWN");

    private final String externalName;

    VersionStatus(String externalName) {
        this.externalName = externalName;
    }

    /** Returns the name used in JSON, which does not depend on the constant's name. */
    public String externalName() {
        return externalName;
    }
}
