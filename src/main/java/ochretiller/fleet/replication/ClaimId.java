package ochretiller.fleet.replication;

/**
 * Names one claim, once and for all: no claim ID is used again. Its order decides between outcomes
 * of one token that should not both exist, and is the same on every server.
 *
 * @param server name of the claiming server
 * @param incarnation which start of that server's process
 * @param sequence position among the claims of that incarnation
 */
public record ClaimId(String server, long incarnation, long sequence)
        implements Comparable<ClaimId> {
    @Override
    public int compareTo(ClaimId other) {
        int byServer = server.compareTo(other.server);
        if (byServer != 0) {
            return byServer;
        }
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
    }

    /** Part of stored keys and of entry digests, so its form is fixed. */
    @Override
    public String toString() {
        return server + '/' + Long.toHexString(incarnation) + '#' + sequence;
    }
}
