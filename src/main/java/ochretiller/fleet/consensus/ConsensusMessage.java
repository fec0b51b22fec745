package ochretiller.fleet.consensus;

import java.util.Map;

/**
 * What voters say to one another about the epoch {@code number}, and what all are told once it is
 * agreed on.
 */
public sealed interface ConsensusMessage {
    /** Will you listen to this attempt? */
    record Prepare(long epoch, Ballot ballot) implements ConsensusMessage {}

    /** To this one and no earlier; {@code accepted} is what was accepted before, or null. */
    record Promise(
            long epoch, Ballot ballot, Ballot acceptedBallot, ReplicaPlacement acceptedPlacement)
            implements ConsensusMessage {}

    /** Take this. */
    record Accept(long epoch, Ballot ballot, ReplicaPlacement placement)
            implements ConsensusMessage {}

    record Accepted(long epoch, Ballot ballot) implements ConsensusMessage {}

    /** A later attempt was promised. */
    record Nack(long epoch, Ballot ballot, Ballot promisedBallot) implements ConsensusMessage {}

    /** This is agreed on. */
    record Committed(ReplicaPlacement placement) implements ConsensusMessage {}

    /** A voter that lost its disk asks what it may have promised. */
    record RecoveryQuery(long nonce) implements ConsensusMessage {}

    /** I am without a disk myself, under this drawn number, and know of nothing. */
    record StateLost(long nonce, long instanceId) implements ConsensusMessage {}

    /**
     * Each voter has said at one time that it has nothing: nothing can have been promised. By each
     * one's drawn number.
     */
    record AllStateLost(Map<String, Long> instanceIds) implements ConsensusMessage {}

    /**
     * The highest number that this voter knows of, agreed on or attempted, and the layout in force.
     */
    record RecoveryReply(long nonce, long highestEpoch, ReplicaPlacement placement)
            implements ConsensusMessage {}

    /**
     * A keeper's word to the voters on how far it is: ranges of this epoch that it does not have
     * whole.
     */
    record ReplicaProgress(long epoch, int laggingRanges) implements ConsensusMessage {}
}
