package ochretiller.fleet.consensus;

import java.util.Map;
import java.util.Optional;

/**
 * Messages between acceptors, and messages that distribute committed epochs to all servers. The
 * encoding is described in docs/fleet-wire.md.
 */
public sealed interface ConsensusMessage {
    /** Paxos phase 1a: asks acceptors to promise a ballot. */
    record Prepare(long epoch, Ballot ballot) implements ConsensusMessage {}

    /**
     * Paxos phase 1b: the sender no longer accepts proposals with lower ballots.
     *
     * @param acceptedBallot the ballot of the accepted placement; {@link Ballot#NONE} if none
     * @param acceptedPlacement the placement that the sender has already accepted, if any
     */
    record Promise(
            long epoch,
            Ballot ballot,
            Ballot acceptedBallot,
            Optional<ReplicaPlacement> acceptedPlacement)
            implements ConsensusMessage {}

    /** Paxos phase 2a: asks acceptors to accept a placement. */
    record Accept(long epoch, Ballot ballot, ReplicaPlacement placement)
            implements ConsensusMessage {}

    /** Paxos phase 2b: the sender has accepted the placement proposed under this ballot. */
    record Accepted(long epoch, Ballot ballot) implements ConsensusMessage {}

    /**
     * Rejects a proposal because the sender has promised a higher ballot.
     *
     * @param ballot the rejected ballot
     * @param promisedBallot the ballot promised to another proposer
     */
    record Nack(long epoch, Ballot ballot, Ballot promisedBallot) implements ConsensusMessage {}

    /** Informs all servers that a majority has accepted this placement. */
    record Committed(ReplicaPlacement placement) implements ConsensusMessage {}

    /** Asks for the epochs that the sender, which has lost its state, may have promised. */
    record RecoveryQuery(long nonce) implements ConsensusMessage {}

    /**
     * Answers a {@link RecoveryQuery}.
     *
     * @param highestEpoch the highest epoch known to the sender, committed or only proposed
     * @param placement the latest committed placement known to the sender
     */
    record RecoveryReply(long nonce, long highestEpoch, ReplicaPlacement placement)
            implements ConsensusMessage {}

    /**
     * Answers a {@link RecoveryQuery}: the sender has lost its state too.
     *
     * @param startId a random number that identifies the start of the sender's process
     */
    record StateLost(long nonce, long startId) implements ConsensusMessage {}

    /**
     * All acceptors have lost their states at the same time, so no promise can still matter and
     * they resume voting.
     *
     * @param startIds by acceptor name, the number that identifies the start of its process; an
     *     acceptor with a different number has restarted since and ignores the message
     */
    record AllStateLost(Map<String, Long> startIds) implements ConsensusMessage {}

    /**
     * Reports to the acceptors how far a replica has caught up.
     *
     * @param epoch the latest epoch known to the replica
     * @param laggingRanges the number of its ranges in that epoch that are incomplete
     */
    record ReplicaProgress(long epoch, int laggingRanges) implements ConsensusMessage {}
}
