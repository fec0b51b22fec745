package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * What an acceptor has to remember beyond a crash; on disk before any message that rests on it is
 * sent.
 *
 * @param committed the latest placement that it knows to be committed
 * @param promisedBallot the highest ballot promised for the epoch after that
 * @param acceptedBallot of what was accepted for it; {@link Ballot#NONE} if nothing
 * @param acceptedPlacement what was accepted for it, if anything
 * @param abstainsThrough it votes on no epoch up to this one, since it may have forgotten a promise
 */
public record AcceptorState(
        ReplicaPlacement committed,
        Ballot promisedBallot,
        Ballot acceptedBallot,
        Optional<ReplicaPlacement> acceptedPlacement,
        long abstainsThrough) {
    /** The state of an acceptor that has not promised anything yet. */
    public static AcceptorState initial(int replicationFactor) {
        return new AcceptorState(
                ReplicaPlacement.empty(replicationFactor),
                Ballot.NONE,
                Ballot.NONE,
                Optional.empty(),
                0);
    }

    /** The epoch that it may vote on. */
    long nextEpoch() {
        return committed.epoch() + 1;
    }

    /** Whether it has promised or accepted anything for the next epoch. */
    boolean hasOpenEpoch() {
        return !promisedBallot.equals(Ballot.NONE) || acceptedPlacement.isPresent();
    }

    AcceptorState promise(Ballot ballot) {
        return new AcceptorState(
                committed, ballot, acceptedBallot, acceptedPlacement, abstainsThrough);
    }

    AcceptorState accept(Ballot ballot, ReplicaPlacement placement) {
        return new AcceptorState(
                committed, ballot, ballot, Optional.of(placement), abstainsThrough);
    }

    /** What was promised for an epoch is of no more use once it is committed. */
    AcceptorState commit(ReplicaPlacement placement) {
        return new AcceptorState(
                placement, Ballot.NONE, Ballot.NONE, Optional.empty(), abstainsThrough);
    }

    AcceptorState abstainThrough(long epoch) {
        return new AcceptorState(
                committed, promisedBallot, acceptedBallot, acceptedPlacement, epoch);
    }
}
