package ochretiller.audit;

/** What is known of a server over one {@link TimelineInterval}. */
public enum VersionStatus {
    /** It acted on the version. */
    ACTIVE("ACTED"),
    /** It was on the version, and keyed work was fenced off. */
    FENCED("SHUT_OUT"),
    /** Nothing was recorded: its process was away, or its records are lost. */
    UNKNOWN("UNKNOWN");

    private final String externalName;

    VersionStatus(String externalName) {
        this.externalName = externalName;
    }

    /** The word by which JSON names it; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }
}
