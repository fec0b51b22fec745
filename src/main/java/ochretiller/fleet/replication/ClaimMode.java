package ochretiller.fleet.replication;

/** How widely a token is protected against a second run. */
public enum ClaimMode {
    /** The token runs at most once in the whole fleet: it is claimed at a majority of replicas. */
    FLEET("fleet"),
    /** The token runs at most once on each server, as without a fleet. */
    SERVER("server");

    private final String externalName;

    ClaimMode(String externalName) {
        this.externalName = externalName;
    }

    /** Returns the word of the operators' file; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }

    /**
     * Returns the mode of this word of the operators' file, in whatever case.
     *
     * @throws IllegalArgumentException where there is no such mode
     */
    public static ClaimMode fromExternalName(String word) {
        for (ClaimMode mode : values()) {
            if (mode.externalName.equalsIgnoreCase(word)) {
                return mode;
            }
        }
        throw new IllegalArgumentException("no mode: '" + word + "'");
    }
}
