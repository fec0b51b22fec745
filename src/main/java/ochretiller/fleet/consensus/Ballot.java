package ochretiller.fleet.consensus;

/**
 * The number of an attempt at agreement; a greater one goes over a smaller.
 *
 * @param proposer who attempts, so that no two attempts have one number
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Before any attempt. */
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }

    Ballot next(String mine) {
        return new Ballot(round + 1, mine);
    }
}
