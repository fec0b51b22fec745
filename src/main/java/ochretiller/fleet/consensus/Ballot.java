package ochretiller.fleet.consensus;

/**
 * The number of a proposal (Paxos: proposal number, ballot); a higher one overrides a lower one.
 *
 * @param round compared first
 * @param proposer name of the acceptor that proposes, so that no two proposals have one number
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Lower than any proposal's. */
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }

    /** The lowest ballot of a proposer in the next round. */
    Ballot next(String nextProposer) {
        return new Ballot(round + 1, nextProposer);
    }
}
