package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * The acceptor and learner of Paxos for one epoch after the other (Lamport, "Paxos Made Simple",
 * 2001, sections 2.2 and 2.3). It votes on the epoch after the committed one only. Departure: a
 * rejected proposer is told the ballot that was promised (a nack), and one that is behind the
 * committed epoch.
 */
final class EpochAcceptor {
    private AcceptorState state;
    private boolean hasLostState;

    /**
     * Creates an acceptor.
     *
     * @param hasLostState whether it may have promised what {@code state} does not tell: then it
     *     does not vote until one of the resume methods is called
     */
    EpochAcceptor(AcceptorState state, boolean hasLostState) {
        this.state = state;
        this.hasLostState = hasLostState;
    }

    AcceptorState state() {
        return state;
    }

    boolean hasLostState() {
        return hasLostState;
    }

    /** The highest epoch for which it has promised, accepted or learned anything. */
    long highestEpoch() {
        long highest = state.hasOpenEpoch() ? state.nextEpoch() : state.committed().epoch();
        return Math.max(highest, state.abstainsThrough());
    }

    /** Votes again from the epoch behind this one on. */
    void resumeAbstainingThrough(long epoch) {
        state = state.abstainThrough(epoch);
        hasLostState = false;
    }

    /** Votes again, since nothing that it has forgotten can matter. */
    void resume() {
        hasLostState = false;
    }

    /** Learns a committed placement; returns false if it is known already or older. */
    boolean learn(ReplicaPlacement placement) {
        if (placement.epoch() <= state.committed().epoch()) {
            return false;
        }
        state = state.commit(placement);
        return true;
    }

    /** Phase 1: returns the answer to a proposer, or nothing where it must not vote. */
    Optional<ConsensusMessage> prepare(ConsensusMessage.Prepare prepare) {
        Ballot ballot = prepare.ballot();
        Optional<ConsensusMessage> rejection = reject(prepare.epoch(), ballot);
        if (rejection.isPresent() || !mayVoteOn(prepare.epoch())) {
            return rejection;
        }
        state = state.promise(ballot);
        return Optional.of(
                new ConsensusMessage.Promise(
                        prepare.epoch(),
                        ballot,
                        state.acceptedBallot(),
                        state.acceptedPlacement()));
    }

    /** Phase 2: returns the answer to a proposer, or nothing where it must not vote. */
    Optional<ConsensusMessage> accept(ConsensusMessage.Accept accept) {
        Ballot ballot = accept.ballot();
        Optional<ConsensusMessage> rejection = reject(accept.epoch(), ballot);
        if (rejection.isPresent() || !mayVoteOn(accept.epoch())) {
            return rejection;
        }
        state = state.accept(ballot, accept.placement());
        return Optional.of(new ConsensusMessage.Accepted(accept.epoch(), ballot));
    }

    /** The answer to a proposal that is behind the committed epoch or a promised ballot. */
    private Optional<ConsensusMessage> reject(long epoch, Ballot ballot) {
        if (epoch <= state.committed().epoch()) {
            return Optional.of(new ConsensusMessage.Committed(state.committed()));
        }
        if (mayVoteOn(epoch) && ballot.compareTo(state.promisedBallot()) < 0) {
            return Optional.of(new ConsensusMessage.Nack(epoch, ballot, state.promisedBallot()));
        }
        return Optional.empty();
    }

    private boolean mayVoteOn(long epoch) {
        boolean abstains = hasLostState || epoch <= state.abstainsThrough();
        return epoch == state.nextEpoch() && !abstains;
    }
}
