package ochretiller.fleet.replication;

/** Whether a run has to be claimed first. */
public enum ClaimRequirement {
    /** The run has to be claimed in the fleet. */
    REQUIRED,
    /**
     * The run has to be claimed while other servers may have non-transitional claims; its own claim
     * does not prolong that time.
     */
    REQUIRED_TRANSITIONALLY,
    /** The operation may run without a claim. */
    NOT_REQUIRED
}
