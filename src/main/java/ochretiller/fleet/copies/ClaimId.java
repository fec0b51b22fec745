package ochretiller.fleet.copies;

/** One claim: which start of which server wants to run, and its how-manieth. Never used again. */
public record ClaimId(String server, long start, long run) implements Comparable<ClaimId> {
    @Override
    public int compareTo(ClaimId other) {
        int byServer = server.compareTo(other.server);
        if (byServer != 0) {
            return byServer;
        }
        int byStart = Long.compare(start, other.start);
        return byStart != 0 ? byStart : Long.compare(run, other.run);
    }

    @Override
    public String toString() {
        return server + '/' + Long.toHexString(start) + '#' + run;
    }
}
