package ochretiller.fleet.consensus;

/**
 * The number of a Paxos proposal; a higher ballot overrides a lower one.
 *
 * @param round compared first
 * @param proposer the name of the proposing acceptor, which makes ballots unique
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Lower than the ballot of any proposal. */
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }

    /** The ballot of a proposer in the next round. */
    Ballot next(String nextProposer) {
        return new Ballot(round + 1, nextProposer);
    }
}
