package ochretiller.fleet.replication;

/** Counts the replies to one claim or query towards a quorum. A missing reply is never counted. */
final class ReplyTally {
    private final long epoch;
    private int grantCount;
    private int unclaimedCount;
    private int refusals;

    /**
     * @param epoch the current epoch: grants of another epoch belong to another majority
     */
    ReplyTally(long epoch) {
        this.epoch = epoch;
    }

    void add(ReplicationMessage.ClaimReply reply) {
        switch (reply.vote()) {
            case GRANTED -> grantCount += currentEpochCount(reply);
            case UNCLAIMED -> unclaimedCount += currentEpochCount(reply);
            default -> refusals++;
        }
    }

    private int currentEpochCount(ReplicationMessage.ClaimReply reply) {
        return reply.epoch() == epoch ? 1 : 0;
    }

    int grantCount() {
        return grantCount;
    }

    int unclaimedCount() {
        return unclaimedCount;
    }

    /** Returns whether too many replicas refused for the others to form a quorum. */
    boolean isQuorumImpossible(int replicas, int quorum) {
        return replicas - refusals < quorum;
    }

    /** Returns whether the contacted replicas cannot decide, so that one more is needed. */
    boolean needsAnotherReplica(int missingReplies, int quorum) {
        return refusals > 0
                && (grantCount + unclaimedCount + missingReplies < quorum || missingReplies == 0);
    }
}
