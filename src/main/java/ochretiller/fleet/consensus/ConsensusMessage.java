package ochretiller.fleet.consensus;

import java.util.Map;
import java.util.Optional;

/**
 * What acceptors send one another, and what all servers are told of committed epochs. The bytes are
 * described in docs/fleet-wire.md.
 */
public sealed interface ConsensusMessage {
    /** Paxos phase 1a: asks acceptors to promise a ballot. */
    record Prepare(long epoch, Ballot ballot) implements ConsensusMessage {}

    /**
     * Paxos phase 1b: the sender accepts nothing under lower ballots any more.
     *
     * @param acceptedBallot of what it has accepted before; {@link Ballot#NONE} if nothing
     * @param acceptedPlacement what it has accepted before, if anything
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

    /** Paxos phase 2b: the sender has accepted it. */
    record Accepted(long epoch, Ballot ballot) implements ConsensusMessage {}

    /**
     * The sender has promised a higher ballot.
     *
     * @param ballot that is rejected
     * @param promisedBallot that was promised to another proposer
     */
    record Nack(long epoch, Ballot ballot, Ballot promisedBallot) implements ConsensusMessage {}

    /** A majority has accepted this placement; to all servers. */
    record Committed(ReplicaPlacement placement) implements ConsensusMessage {}

    /** An acceptor that has lost its state asks what it may have promised. */
    record RecoveryQuery(long nonce) implements ConsensusMessage {}

    /**
     * Answers a {@link RecoveryQuery}.
     *
     * @param highestEpoch the highest epoch that the sender knows of, committed or only proposed
     * @param placement the committed one
     */
    record RecoveryReply(long nonce, long highestEpoch, ReplicaPlacement placement)
            implements ConsensusMessage {}

    /**
     * Answers a {@link RecoveryQuery}: the sender has lost its state itself.
     *
     * @param instanceId drawn at random at its start
     */
    record StateLost(long nonce, long instanceId) implements ConsensusMessage {}

    /**
     * All acceptors have lost their state at one time, so no promise can still matter: they go on.
     *
     * @param instanceIds of all acceptors by name; one that has another was not there
     */
    record AllStateLost(Map<String, Long> instanceIds) implements ConsensusMessage {}

    /**
     * A replica tells the acceptors how far it has caught up.
     *
     * @param epoch the latest that it knows
     * @param laggingRanges ranges of that epoch that it does not have completely
     */
    record ReplicaProgress(long epoch, int laggingRanges) implements ConsensusMessage {}
}
