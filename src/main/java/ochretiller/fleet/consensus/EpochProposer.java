package ochretiller.fleet.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The Paxos proposer (Lamport, "Paxos Made Simple", 2001, section 2.2), with one proposal for the
 * next epoch at a time. If acceptors have already accepted another placement, it completes that one
 * instead of its own. The caller retries a failed proposal after a random delay.
 */
final class EpochProposer {
    private final String name;
    private final int quorum;
    private Phase phase = Phase.IDLE;
    private Ballot ballot = Ballot.NONE;
    private Optional<ReplicaPlacement> proposed = Optional.empty();
    private Ballot highestAcceptedBallot = Ballot.NONE;
    private Optional<ReplicaPlacement> highestAccepted = Optional.empty();
    private final Set<String> promises = new HashSet<>();
    private final Set<String> accepts = new HashSet<>();

    private enum Phase {
        /** No proposal, or the last one was committed or rejected. */
        IDLE,
        /** Phase 1: collects promises. */
        PREPARING,
        /** Phase 2: collects acceptances. */
        ACCEPTING
    }

    /**
     * Creates a proposer without a proposal.
     *
     * @param name the name of this server's acceptor, used in ballots
     * @param quorum the number of acceptors in a majority
     */
    EpochProposer(String name, int quorum) {
        this.name = name;
        this.quorum = quorum;
    }

    /** Whether a proposal is in progress. */
    boolean isActive() {
        return phase != Phase.IDLE;
    }

    /**
     * Starts a proposal with a ballot higher than all those that it knows.
     *
     * @param promisedBallot the highest ballot promised by this server's acceptor
     * @return the message for all acceptors
     */
    ConsensusMessage.Prepare start(ReplicaPlacement placement, Ballot promisedBallot) {
        Ballot highest = promisedBallot.compareTo(ballot) > 0 ? promisedBallot : ballot;
        ballot = highest.next(name);
        proposed = Optional.of(placement);
        promises.clear();
        accepts.clear();
        highestAccepted = Optional.empty();
        highestAcceptedBallot = Ballot.NONE;
        phase = Phase.PREPARING;
        return new ConsensusMessage.Prepare(placement.epoch(), ballot);
    }

    /** Abandons the proposal, since an epoch has been committed. */
    void abandon() {
        proposed = Optional.empty();
        phase = Phase.IDLE;
    }

    /** Processes a promise; returns the message for all acceptors if it completes a majority. */
    Optional<ConsensusMessage> receivePromise(String from, ConsensusMessage.Promise promise) {
        if (phase != Phase.PREPARING || !promise.ballot().equals(ballot)) {
            return Optional.empty();
        }
        promises.add(from);
        boolean isHigher = promise.acceptedBallot().compareTo(highestAcceptedBallot) > 0;
        if (promise.acceptedPlacement().isPresent() && isHigher) {
            highestAcceptedBallot = promise.acceptedBallot();
            highestAccepted = promise.acceptedPlacement();
        }
        if (promises.size() < quorum) {
            return Optional.empty();
        }
        phase = Phase.ACCEPTING;
        return Optional.of(new ConsensusMessage.Accept(promise.epoch(), ballot, value()));
    }

    /** The placement accepted under the highest ballot, or else this server's own proposal. */
    private ReplicaPlacement value() {
        return highestAccepted.or(() -> proposed).orElseThrow();
    }

    /** Processes an acceptance; returns the message for all servers if it completes a majority. */
    Optional<ConsensusMessage> receiveAccepted(String from, ConsensusMessage.Accepted accepted) {
        if (phase != Phase.ACCEPTING || !accepted.ballot().equals(ballot)) {
            return Optional.empty();
        }
        accepts.add(from);
        if (accepts.size() < quorum) {
            return Optional.empty();
        }
        return Optional.of(new ConsensusMessage.Committed(value()));
    }

    /** Processes a rejection; the next ballot will be higher than the promised one. */
    void receiveNack(ConsensusMessage.Nack nack) {
        if (phase == Phase.IDLE || !nack.ballot().equals(ballot)) {
            return;
        }
        phase = Phase.IDLE;
        if (nack.promisedBallot().compareTo(ballot) > 0) {
            ballot = new Ballot(nack.promisedBallot().round(), name);
        }
    }
}
