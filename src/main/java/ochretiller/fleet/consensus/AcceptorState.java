package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * The durable state of an acceptor, which must be on disk before any message that depends on it is
 * sent.
 *
 * @param committedPlacement the latest known committed placement
 * @param promisedBallot the highest ballot promised for the next epoch
 * @param acceptedBallot the ballot of the accepted placement; {@link Ballot#NONE} if there is none
 * @param acceptedPlacement the placement accepted for the next epoch, if any
 * @param abstainsThrough the last epoch that it never votes on, since it may have lost a promise; 0
 *     if there is none
 */
public record AcceptorState(
        ReplicaPlacement committedPlacement,
        Ballot promisedBallot,
        Ballot acceptedBallot,
        Optional<ReplicaPlacement> acceptedPlacement,
        long abstainsThrough) {
    /** The state of an acceptor that has made no promises. */
    public static AcceptorState initial(int replicationFactor) {
        return new AcceptorState(
                ReplicaPlacement.empty(replicationFactor),
                Ballot.NONE,
                Ballot.NONE,
                Optional.empty(),
                0);
    }

    /** The only epoch that the acceptor may vote on. */
    long nextEpoch() {
        return committedPlacement.epoch() + 1;
    }

    /** Whether the acceptor has promised or accepted anything for the next epoch. */
    boolean hasOpenEpoch() {
        return !promisedBallot.equals(Ballot.NONE) || acceptedPlacement.isPresent();
    }

    AcceptorState promise(Ballot ballot) {
        return new AcceptorState(
                committedPlacement, ballot, acceptedBallot, acceptedPlacement, abstainsThrough);
    }

    AcceptorState accept(Ballot ballot, ReplicaPlacement placement) {
        return new AcceptorState(
                committedPlacement, ballot, ballot, Optional.of(placement), abstainsThrough);
    }

    /** Replaces the committed placement and discards the votes, which a commit makes obsolete. */
    AcceptorState commit(ReplicaPlacement placement) {
        return new AcceptorState(
                placement, Ballot.NONE, Ballot.NONE, Optional.empty(), abstainsThrough);
    }

    AcceptorState abstainThrough(long epoch) {
        return new AcceptorState(
                committedPlacement, promisedBallot, acceptedBallot, acceptedPlacement, epoch);
    }
}
