package ochretiller.fleet.rollout;

import ochretiller.fleet.consensus.PublishedVersion;

/**
 * What a server reports to the acceptors about the version it runs.
 *
 * @param activeVersion number of the version that it runs
 * @param activeHash SHA-256 of that version's bytes, in hex; two hashes of one number are a fork
 * @param rejectedVersion number of the version that it cannot run, or 0
 * @param rejectionReason why not; empty where it rejects none
 * @param rolloutVersion number of the version that is being rolled out, or was last, as this server
 *     knows; its counters are about that rollout
 * @param candidate what became of invocations under the version that is rolled out, as far as it
 *     runs it
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
    /** Characters of a rejection's reason at most. */
    public static final int MAX_REASON_LENGTH = 200;

    private static final int MAX_HASH_LENGTH = 64;

    /**
     * @throws IllegalArgumentException where a peer reports what cannot be
     */
    public VersionReport {
        boolean textsFit =
                rejectionReason.length() <= MAX_REASON_LENGTH
                        && activeHash.length() <= MAX_HASH_LENGTH;
        if (!textsFit || activeVersion < 0 || rolloutVersion < 0 || rejectedVersion < 0) {
            throw new IllegalArgumentException(
                    "impossible version report: activeVersion="
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
    boolean rejects(PublishedVersion version) {
        return rejectedVersion == version.number();
    }
}
