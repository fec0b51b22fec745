package ochretiller.fleet.replication;

/** Whether a run has to be claimed first. */
public enum ClaimRequirement {
    /** It has to be claimed in the fleet. */
    REQUIRED,
    /**
     * It is claimed for as long as others may hold permanent claims; the claim itself does not
     * prolong that.
     */
    REQUIRED_TRANSITIONALLY,
    /** It may run without a claim. */
    NOT_REQUIRED
}
