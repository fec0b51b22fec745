package ochretiller.fleet.consensus;

/**
 * Which version is being rolled out and how far it has come: a part of what an epoch agrees on.
 *
 * @param target the version that is rolled out, or that all act on once it is done
 * @param previous the version of servers whose turn has not come
 * @param stage at each later stage more servers are to act on the target; from 0
 */
public record RolloutState(
        PublishedVersion target, PublishedVersion previous, int stage, RolloutPhase phase) {
    /** No version was ever published: each server acts on its own files. */
    public static final RolloutState NONE =
            new RolloutState(PublishedVersion.NONE, PublishedVersion.NONE, 0, RolloutPhase.DONE);

    /** Highest stage that can be sent. */
    private static final int MAX_STAGE = 9;

    /**
     * Guards against a peer that sends what no rollout can be.
     *
     * @throws IllegalArgumentException if the stage is out of bounds or versions go back
     */
    public RolloutState {
        if (stage < 0 || stage > MAX_STAGE || target.number() < previous.number()) {
            throw new IllegalArgumentException(
                    "no rollout: stage "
                            + stage
                            + " from version "
                            + previous.number()
                            + " to "
                            + target.number());
        }
    }

    /** Whether all servers are to act on the target, so that another rollout may start. */
    public boolean isComplete() {
        return phase == RolloutPhase.DONE;
    }

    /** The rollout of the next version, at its first stage. */
    public RolloutState startRollout(PublishedVersion next) {
        return new RolloutState(next, target, 0, RolloutPhase.RUNNING);
    }

    /** The same rollout at another stage. */
    public RolloutState withStage(int nextStage) {
        return new RolloutState(target, previous, nextStage, phase);
    }

    /** The same rollout in another phase. */
    public RolloutState withPhase(RolloutPhase nextPhase) {
        return new RolloutState(target, previous, stage, nextPhase);
    }

    /** All servers act on the target; the version before is forgotten. */
    public RolloutState completed() {
        return new RolloutState(target, target, 0, RolloutPhase.DONE);
    }

    /**
     * The version before comes back for all servers at once, republished under a number of its own:
     * numbers never go back.
     */
    public RolloutState rolledBack(String publisher, String reason) {
        PublishedVersion again = previous.republishedAs(target.number() + 1, publisher, reason);
        return new RolloutState(again, again, 0, RolloutPhase.DONE);
    }
}
