package ochretiller.fleet.replication;

/**
 * The unique ID of a claim or query; never reused. Its order is the same on every server, and
 * selects one outcome if a token has several by mistake.
 *
 * @param server name of the claiming server, which owns the claim
 * @param incarnation identifies the start of that server's process
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

    /** The format must not change: it is part of stored keys and of entry digests. */
    @Override
    public String toString() {
        return server + '/' + Long.toHexString(incarnation) + '#' + sequence;
    }
}
