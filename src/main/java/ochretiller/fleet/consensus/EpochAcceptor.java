package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * The Paxos acceptor and learner for one epoch after the other (Lamport, "Paxos Made Simple", 2001,
 * sections 2.2 and 2.3). It votes only on the epoch after the committed one. Departure: it answers
 * a rejected proposal with the promised ballot (a nack), and a proposal for an old epoch with the
 * committed placement.
 */
final class EpochAcceptor {
    private AcceptorState state;
    private boolean hasLostState;

    /**
     * Creates an acceptor.
     *
     * @param hasLostState whether it may have made promises that {@code state} does not contain; if
     *     so, it does not vote until one of the resume methods is called
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

    /** The highest epoch that it has promised, accepted, learned or abstains from. */
    long highestEpoch() {
        long highest =
                state.hasOpenEpoch() ? state.nextEpoch() : state.committedPlacement().epoch();
        return Math.max(highest, state.abstainsThrough());
    }

    /** Resumes voting, but only on epochs after this one. */
    void resumeAbstainingThrough(long epoch) {
        state = state.abstainThrough(epoch);
        hasLostState = false;
    }

    /** Resumes voting on all epochs, since none of its lost promises can still matter. */
    void resume() {
        hasLostState = false;
    }

    /** Learns a committed placement; returns false if it is not newer than the known one. */
    boolean learn(ReplicaPlacement placement) {
        if (placement.epoch() <= state.committedPlacement().epoch()) {
            return false;
        }
        state = state.commit(placement);
        return true;
    }

    /** Phase 1: returns the answer to a proposer; empty if it must not vote. */
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

    /** Phase 2: returns the answer to a proposer; empty if it must not vote. */
    Optional<ConsensusMessage> accept(ConsensusMessage.Accept accept) {
        Ballot ballot = accept.ballot();
        Optional<ConsensusMessage> rejection = reject(accept.epoch(), ballot);
        if (rejection.isPresent() || !mayVoteOn(accept.epoch())) {
            return rejection;
        }
        state = state.accept(ballot, accept.placement());
        return Optional.of(new ConsensusMessage.Accepted(accept.epoch(), ballot));
    }

    /** The answer to a proposal for an old epoch or under a ballot lower than the promised one. */
    private Optional<ConsensusMessage> reject(long epoch, Ballot ballot) {
        if (epoch <= state.committedPlacement().epoch()) {
            return Optional.of(new ConsensusMessage.Committed(state.committedPlacement()));
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
