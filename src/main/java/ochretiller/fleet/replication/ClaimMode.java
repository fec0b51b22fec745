package ochretiller.fleet.replication;

/** The scope in which a token is protected against a second run. */
public enum ClaimMode {
    /** The token runs at most once in the whole fleet: it is claimed at a majority of replicas. */
    FLEET("fleet"),
    /** The token runs at most once on each server, without a claim in the fleet. */
    SERVER("server");

    private final String externalName;

    ClaimMode(String externalName) {
        this.externalName = externalName;
    }

    /** Returns the name used in the operators' file; it is independent of the constant's name. */
    public String externalName() {
        return externalName;
    }

    /**
     * Returns the mode with this name in the operators' file, ignoring case.
     *
     * @throws IllegalArgumentException if there is no such mode
     */
    public static ClaimMode fromExternalName(String name) {
        for (ClaimMode mode : values()) {
            if (mode.externalName.equalsIgnoreCase(name)) {
                return mode;
            }
        }
        throw new IllegalArgumentException(
                "unknown claim mode '" + name + "'; expected 'fleet' or 'server'");
    }
}
