package ochretiller.fleet.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The proposer of Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2): has one placement at a
 * time accepted as the next epoch. If acceptors have accepted another one before, it carries that
 * through in place of its own. When to try again, after a random pause, is the caller's decision.
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
        /** No proposal, or the last one is decided or rejected. */
        IDLE,
        /** Phase 1: gathers promises. */
        PREPARING,
        /** Phase 2: gathers acceptances. */
        ACCEPTING
    }

    /**
     * Creates a proposer without a proposal.
     *
     * @param name its acceptor's name, which is part of its ballots
     * @param quorum acceptors that form a majority
     */
    EpochProposer(String name, int quorum) {
        this.name = name;
        this.quorum = quorum;
    }

    /** Whether a proposal waits for answers. */
    boolean isActive() {
        return phase != Phase.IDLE;
    }

    /**
     * Starts a proposal, with a ballot above all that it knows of.
     *
     * @param promisedBallot the highest that its own acceptor has promised
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

    /** Gives up, since an epoch was committed meanwhile. */
    void abandon() {
        proposed = Optional.empty();
        phase = Phase.IDLE;
    }

    /** Takes a promise; returns the message for all acceptors once a majority has promised. */
    Optional<ConsensusMessage> promised(String from, ConsensusMessage.Promise promise) {
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

    /** What was accepted under the highest ballot, or its own proposal if nothing was. */
    private ReplicaPlacement value() {
        return highestAccepted.or(() -> proposed).orElseThrow();
    }

    /** Takes an acceptance; returns the message for all servers once a majority has accepted. */
    Optional<ConsensusMessage> accepted(String from, ConsensusMessage.Accepted accepted) {
        if (phase != Phase.ACCEPTING || !accepted.ballot().equals(ballot)) {
            return Optional.empty();
        }
        accepts.add(from);
        if (accepts.size() < quorum) {
            return Optional.empty();
        }
        return Optional.of(new ConsensusMessage.Committed(value()));
    }

    /** Takes a rejection; the next proposal's ballot is above the one that was promised. */
    void rejected(ConsensusMessage.Nack nack) {
        if (phase == Phase.IDLE || !nack.ballot().equals(ballot)) {
            return;
        }
        phase = Phase.IDLE;
        if (nack.promisedBallot().compareTo(ballot) > 0) {
            ballot = new Ballot(nack.promisedBallot().round(), name);
        }
    }
}
