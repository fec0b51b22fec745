package ochretiller.fleet.epochs;

/**
 * The number of an attempt at agreement; a greater one goes over a smaller.
 *
 * @param voter who attempts, so that no two attempts have one number
 */
public record Ballot(long round, String voter) implements Comparable<Ballot> {
    /** Before any attempt. */
    public static final Ballot NONE = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : voter.compareTo(other.voter);
    }

    Ballot next(String mine) {
        return new Ballot(round + 1, mine);
    }
}
