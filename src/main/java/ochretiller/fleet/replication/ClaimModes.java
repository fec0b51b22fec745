package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Decides whether a run of an operation has to be claimed, also while the operators change an
 * operation from fleet mode to server mode.
 *
 * <p>A token stays in the mode of its first claim. A server that merely looked whether a token is
 * claimed could run it beside a server that claims it at the same moment, so a server that leaves
 * fleet mode goes on claiming until every token that others may have claimed permanently is past
 * its idempotency window. Its own claims are marked as transitional, so that two servers that both
 * leave do not keep each other claiming.
 *
 * <p>Not thread-safe; owned by the thread that owns the fleet's decisions. Time is handed in.
 */
public final class ClaimModes {
    private final ClaimModeSettings settings;
    private final Duration maxWindow;
    private Duration transitionEnd;

    /**
     * @param maxWindow longest idempotency window of a token: no claim is remembered longer
     * @param now monotonic time
     */
    public ClaimModes(ClaimModeSettings settings, Duration maxWindow, Duration now) {
        this.settings = settings;
        this.maxWindow = maxWindow;
        // A previous process of this server, and any other server, may have claimed until just now.
        this.transitionEnd = now.plus(maxWindow);
    }

    /**
     * Records that another server has asked for a claim of this operation.
     *
     * @param transitional whether that server is leaving fleet mode itself, so that its claim need
     *     not be waited for
     */
    public void claimObserved(String operation, boolean transitional, Duration now) {
        // Claims of operations that stay in fleet mode here say nothing about those that leave it.
        if (!transitional && settings.modeOf(operation) == ClaimMode.SERVER) {
            transitionEnd = now.plus(maxWindow);
        }
    }

    /** Returns what has to happen before a run of this operation. */
    public ClaimRequirement requirementFor(String operation, Duration now) {
        if (settings.modeOf(operation) == ClaimMode.FLEET) {
            return ClaimRequirement.REQUIRED;
        }
        return now.compareTo(transitionEnd) < 0
                ? ClaimRequirement.REQUIRED_TRANSITIONALLY
                : ClaimRequirement.NOT_REQUIRED;
    }
}
