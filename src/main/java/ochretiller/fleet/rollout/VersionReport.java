package ochretiller.fleet.rollout;

import ochretiller.fleet.consensus.PublishedVersion;

/**
 * A server's report to the acceptors about its active version.
 *
 * @param activeVersion number of the active version
 * @param activeHash SHA-256 of that version's bytes in hex; two hashes of one number reveal a fork
 * @param rejectedVersion number of the version that the server cannot activate, or 0
 * @param rejectionReason reason of that rejection; empty if there is none
 * @param rolloutVersion number of the version in the latest rollout that the server knows, to which
 *     the counters refer
 * @param candidate outcomes of invocations under the version that is rolled out
 * @param baseline outcomes of invocations under the previous version
 */
public record VersionReport(
        long activeVersion,
        String activeHash,
        long rejectedVersion,
        String rejectionReason,
        long rolloutVersion,
        VersionCounters candidate,
        VersionCounters baseline) {
    /** Maximum length of a rejection reason in characters. */
    public static final int MAX_REASON_LENGTH = 200;

    private static final int MAX_HASH_LENGTH = 64;

    /**
     * @throws IllegalArgumentException if a peer's text is too long or a number is negative
     */
    public VersionReport {
        boolean areLengthsValid =
                rejectionReason.length() <= MAX_REASON_LENGTH
                        && activeHash.length() <= MAX_HASH_LENGTH;
        if (!areLengthsValid || activeVersion < 0 || rolloutVersion < 0 || rejectedVersion < 0) {
            throw new IllegalArgumentException(
                    "invalid version report: activeVersion="
                            + activeVersion
                            + " rejectedVersion="
                            + rejectedVersion
                            + " rolloutVersion="
                            + rolloutVersion);
        }
    }

    /** Returns whether the server runs exactly this version. */
    boolean isRunning(PublishedVersion version) {
        return activeVersion == version.number() && activeHash.equals(version.hash());
    }

    /** Returns whether the server has rejected this version. */
    boolean hasRejected(PublishedVersion version) {
        return rejectedVersion == version.number();
    }
}
