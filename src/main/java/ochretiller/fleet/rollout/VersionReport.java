package ochretiller.fleet.rollout;

/**
 * What a server says of itself to the voters.
 *
 * @param activeVersion the version that it acts on
 * @param activeHash of that: two of one number and other bytes are a fork
 * @param rejectedVersion the version that it cannot act on, or 0
 * @param rejectionReason why not; empty where it refuses none
 * @param rolloutVersion the version that is brought out, or was last, as this server knows; what it
 *     counts is about that
 * @param candidate what became of invocations under the version that is brought out, as far as it
 *     acts on it
 * @param baseline the same under the version before
 */
public record VersionReport(
        long activeVersion,
        String activeHash,
        long rejectedVersion,
        String rejectionReason,
        long rolloutVersion,
        VersionCounters candidate,
        VersionCounters baseline) {
    /** Characters of a reason. */
    public static final int MAX_REASON_LENGTH = 200;

    public VersionReport {
        if (rejectionReason.length() > MAX_REASON_LENGTH
                || activeHash.length() > 64
                || activeVersion < 0
                || rolloutVersion < 0
                || rejectedVersion < 0) {
            throw new IllegalArgumentException("no report");
        }
    }
}
