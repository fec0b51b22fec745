package ochretiller.fleet.consensus;

/** How a rollout goes on. */
public enum RolloutPhase {
    /** It advances by itself. */
    RUNNING("RUNS"),
    /** A person has stopped it, and resumes it or rolls it back. */
    PAUSED("PAUSED"),
    /** It was stopped by itself, for the harm that was seen of it. */
    HALTED("HALTED"),
    /** All servers are to act on its target. */
    DONE("DONE");

    private final String externalName;

    RolloutPhase(String externalName) {
        this.externalName = externalName;
    }

    /** The word for it in JSON, log lines and the audit, whatever the constant is called. */
    public String externalName() {
        return externalName;
    }
}
