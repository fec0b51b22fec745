package ochretiller.fleet.rollout;

import java.util.Arrays;
import ochretiller.fleet.consensus.PublishedVersion;

/**
 * Messages about versions between the servers of a fleet; {@code docs/fleet-wire.md} has their
 * encoding.
 */
public sealed interface RolloutMessage {
    /**
     * Reports to an acceptor what the sender runs, and asks it to renew the sender's lease.
     *
     * @param requestId names the renewal
     * @param auditRecordNumber number of the last record of this server's audit, or 0
     * @param auditHash hash of that record in hex, empty where there is none
     */
    record StatusReport(
            long requestId, VersionReport report, long auditRecordNumber, String auditHash)
            implements RolloutMessage {
        /**
         * @throws IllegalArgumentException where record and hash do not belong together
         */
        public StatusReport {
            int hashLength = auditRecordNumber == 0 ? 0 : PublishedVersion.HASH_LENGTH;
            if (auditRecordNumber < 0 || auditHash.length() != hashLength) {
                throw new IllegalArgumentException(
                        "impossible audit position: record " + auditRecordNumber);
            }
        }
    }

    /** An acceptor's answer to a {@link StatusReport}. */
    record LeaseReply(long requestId, boolean granted) implements RolloutMessage {}

    /** Offers the bytes of a version to an acceptor, before the version is agreed on. */
    record VersionOffer(String hash, int size) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException where the hash or the size is that of no version
         */
        public VersionOffer {
            requireHash(hash);
            if (size <= 0 || size > PublishedVersion.MAX_BYTES) {
                throw new IllegalArgumentException("impossible size of a version: " + size);
            }
        }
    }

    /** Confirms that the bytes of a version are on the sender's disk. */
    record VersionStored(String hash) implements RolloutMessage {}

    /** Asks for bytes of a version, from this offset on. */
    record ChunkRequest(String hash, int offset) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException where the hash is that of no version, or the offset is
         *     negative
         */
        public ChunkRequest {
            requireHash(hash);
            requireOffset(offset);
        }
    }

    /** Some bytes of a version; the array is not copied and must not be changed. */
    record Chunk(String hash, int offset, byte[] data) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException where the hash is that of no version, or there are too
         *     many bytes
         */
        public Chunk {
            requireHash(hash);
            requireOffset(offset);
            if (data.length > VersionDownload.CHUNK_BYTES) {
                throw new IllegalArgumentException(
                        "too long for a chunk: " + data.length + " bytes");
            }
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Chunk that
                    && that.hash.equals(hash)
                    && that.offset == offset
                    && Arrays.equals(that.data, data);
        }

        @Override
        public int hashCode() {
            return hash.hashCode() + offset;
        }
    }

    private static void requireHash(String hash) {
        if (hash.length() != PublishedVersion.HASH_LENGTH) {
            throw new IllegalArgumentException(
                    "not the length of a version's hash: " + hash.length());
        }
    }

    private static void requireOffset(int offset) {
        if (offset < 0) {
            throw new IllegalArgumentException("negative offset: " + offset);
        }
    }
}
