package ochretiller.fleet.rollout;

import ochretiller.fleet.consensus.PublishedVersion;

/** What is said about versions, from one server to another. */
public sealed interface RolloutMessage {
    /**
     * To each voter: what I act on; may I go on?
     *
     * @param auditRecordNumber number of the last record of this server's audit, or 0
     * @param auditHash of that
     */
    record StatusReport(
            long requestId, VersionReport report, long auditRecordNumber, String auditHash)
            implements RolloutMessage {
        public StatusReport {
            if (auditRecordNumber < 0 || auditHash.length() != (auditRecordNumber == 0 ? 0 : 64)) {
                throw new IllegalArgumentException("no audit");
            }
        }
    }

    /** A voter's answer. */
    record LeaseReply(long requestId, boolean granted) implements RolloutMessage {}

    /** To each voter, before a version is agreed on: have these bytes, from me. */
    record VersionOffer(String hash, int size) implements RolloutMessage {
        public VersionOffer {
            if (hash.length() != 64 || size <= 0 || size > PublishedVersion.MAX_BYTES) {
                throw new IllegalArgumentException("no offer");
            }
        }
    }

    /** I have them, on my disk. */
    record VersionStored(String hash) implements RolloutMessage {}

    /** Give me the bytes of the version of this hash from here on. */
    record ChunkRequest(String hash, int offset) implements RolloutMessage {
        public ChunkRequest {
            if (hash.length() != 64 || offset < 0) {
                throw new IllegalArgumentException("no question");
            }
        }
    }

    /** Some of them. */
    record Chunk(String hash, int offset, byte[] data) implements RolloutMessage {
        public Chunk {
            if (hash.length() != 64 || offset < 0 || data.length > VersionDownload.CHUNK_BYTES) {
                throw new IllegalArgumentException("no bytes");
            }
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Chunk that
                    && that.hash.equals(hash)
                    && that.offset == offset
                    && java.util.Arrays.equals(that.data, data);
        }

        @Override
        public int hashCode() {
            return hash.hashCode() + offset;
        }
    }
}
