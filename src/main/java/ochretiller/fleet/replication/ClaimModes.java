package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Decides whether a run of an operation has to be claimed, including while an operation changes
 * from fleet mode to server mode.
 *
 * <p>A token stays in the mode of its first claim. Merely checking for an existing claim would race
 * with a server that claims the token at the same moment. A server that leaves fleet mode therefore
 * continues to claim until the idempotency window of every token that others may have claimed
 * non-transitionally has ended. It marks its own claims as transitional, so that two servers that
 * both leave fleet mode do not prolong each other's transition.
 *
 * <p>Not thread-safe; confined to the fleet's decision thread. Callers pass the time.
 */
public final class ClaimModes {
    private final ClaimModeSettings settings;
    private final Duration maxWindow;
    private Duration transitionEnd;

    /**
     * @param maxWindow longest idempotency window of a token; no claim is stored for longer
     * @param now monotonic time
     */
    public ClaimModes(ClaimModeSettings settings, Duration maxWindow, Duration now) {
        this.settings = settings;
        this.maxWindow = maxWindow;
        // A previous process of this server, or another server, may have claimed until now.
        this.transitionEnd = now.plus(maxWindow);
    }

    /**
     * Records that another server has requested a claim for this operation.
     *
     * @param transitional whether that server is leaving fleet mode itself, so that its claim does
     *     not prolong the transition
     */
    public void recordObservedClaim(String operation, boolean transitional, Duration now) {
        // Claims of operations that stay in fleet mode do not affect those that leave it.
        if (!transitional && settings.modeOf(operation) == ClaimMode.SERVER) {
            transitionEnd = now.plus(maxWindow);
        }
    }

    /** Returns whether a run of this operation has to be claimed first. */
    public ClaimRequirement requirementFor(String operation, Duration now) {
        if (settings.modeOf(operation) == ClaimMode.FLEET) {
            return ClaimRequirement.REQUIRED;
        }
        return now.compareTo(transitionEnd) < 0
                ? ClaimRequirement.REQUIRED_TRANSITIONALLY
                : ClaimRequirement.NOT_REQUIRED;
    }
}
