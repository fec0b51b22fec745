package ochretiller.fleet.consensus;

/** The phase of a rollout. */
public enum RolloutPhase {
    /** The rollout advances from stage to stage automatically. */
    RUNNING("RUNS"),
    /** An operator has stopped the rollout and may resume it or roll it back. */
    PAUSED("PAUSED"),
    /** The rollout stopped automatically because harmful effects of the version were detected. */
    HALTED("HALTED"),
    /** All servers are to use its target version. */
    DONE("DONE");

    private final String externalName;

    RolloutPhase(String externalName) {
        this.externalName = externalName;
    }

    /** The name of the phase in JSON, log lines and audit records. */
    public String externalName() {
        return externalName;
    }
}
