package ochretiller.fleet.consensus;

/**
 * The state of a rollout, as part of the value agreed on for an epoch.
 *
 * @param target the version being rolled out; after completion, the version of all servers
 * @param previous the version of servers that the rollout has not reached
 * @param stage the stage from 0; at each later stage more servers use the target
 */
public record RolloutState(
        PublishedVersion target, PublishedVersion previous, int stage, RolloutPhase phase) {
    /** No version has been published: each server uses its own files. */
    public static final RolloutState NONE =
            new RolloutState(PublishedVersion.NONE, PublishedVersion.NONE, 0, RolloutPhase.DONE);

    /** Highest valid stage. */
    private static final int MAX_STAGE = 9;

    /**
     * Validates the state, since a peer may send anything.
     *
     * @throws IllegalArgumentException if the stage is out of range or version numbers decrease
     */
    public RolloutState {
        if (stage < 0 || stage > MAX_STAGE || target.number() < previous.number()) {
            throw new IllegalArgumentException(
                    "invalid rollout: stage "
                            + stage
                            + " from version "
                            + previous.number()
                            + " to "
                            + target.number());
        }
    }

    /** Whether all servers are to use the target, so that another rollout may start. */
    public boolean isComplete() {
        return phase == RolloutPhase.DONE;
    }

    /** Returns the rollout of the next version at its first stage. */
    public RolloutState startRollout(PublishedVersion next) {
        return new RolloutState(next, target, 0, RolloutPhase.RUNNING);
    }

    /** Returns this rollout at another stage. */
    public RolloutState withStage(int nextStage) {
        return new RolloutState(target, previous, nextStage, phase);
    }

    /** Returns this rollout in another phase. */
    public RolloutState withPhase(RolloutPhase nextPhase) {
        return new RolloutState(target, previous, stage, nextPhase);
    }

    /** Returns the completed rollout: all servers use the target. */
    public RolloutState completed() {
        return new RolloutState(target, target, 0, RolloutPhase.DONE);
    }

    /**
     * Returns a completed rollout of the previous version for all servers at once, republished
     * under a new number, as version numbers never decrease.
     */
    public RolloutState rolledBack(String publisher, String reason) {
        PublishedVersion restored = previous.republishedAs(target.number() + 1, publisher, reason);
        return new RolloutState(restored, restored, 0, RolloutPhase.DONE);
    }
}
