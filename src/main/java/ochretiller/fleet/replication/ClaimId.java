package ochretiller.fleet.replication;

/** One claim: which start of which server wants to run, and its how-manieth. Never used again. */
public record ClaimId(String server, long incarnation, long sequence)
        implements Comparable<ClaimId> {
    @Override
    public int compareTo(ClaimId other) {
        int byServer = server.compareTo(other.server);
        if (byServer != 0) {
            return byServer;
        }
        int byStart = Long.compare(incarnation, other.incarnation);
        return byStart != 0 ? byStart : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return server + '/' + Long.toHexString(incarnation) + '#' + sequence;
    }
}
