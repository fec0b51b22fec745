package ochretiller.fleet.replication;

/** Counts the replies to one claim or query towards a quorum. A missing reply is never counted. */
final class ReplyTally {
    private final long epoch;
    private int granted;
    private int unclaimed;
    private int opposed;

    /**
     * @param epoch the present epoch: a grant of another one belongs to another majority
     */
    ReplyTally(long epoch) {
        this.epoch = epoch;
    }

    void add(ReplicationMessage.ClaimReply reply) {
        switch (reply.vote()) {
            case GRANTED -> granted += countsInEpoch(reply);
            case UNCLAIMED -> unclaimed += countsInEpoch(reply);
            default -> opposed++;
        }
    }

    private int countsInEpoch(ReplicationMessage.ClaimReply reply) {
        return reply.epoch() == epoch ? 1 : 0;
    }

    int granted() {
        return granted;
    }

    int unclaimed() {
        return unclaimed;
    }

    /** Returns whether so many replicas have not granted the claim that the rest is no quorum. */
    boolean excludesQuorum(int replicas, int quorum) {
        return replicas - opposed < quorum;
    }

    /** Returns whether one more replica has to be asked, since those asked can no longer decide. */
    boolean needsAnotherReplica(int missingReplies, int quorum) {
        return opposed > 0
                && (granted + unclaimed + missingReplies < quorum || missingReplies == 0);
    }
}
