package ochretiller.fleet.rollout;

import java.util.Arrays;
import ochretiller.fleet.consensus.PublishedVersion;

/**
 * Messages about rollouts between the servers of a fleet. {@code docs/fleet-wire.md} specifies
 * their encoding.
 */
public sealed interface RolloutMessage {
    /**
     * Reports the sender's version to an acceptor and requests a renewal of the sender's lease.
     *
     * @param requestId ID of the renewal request
     * @param report the sender's version and its counters
     * @param auditRecordNumber number of the last record in the sender's audit log; 0 for no log
     * @param auditHash hash of that record in hex; empty if there is none
     */
    record StatusReport(
            long requestId, VersionReport report, long auditRecordNumber, String auditHash)
            implements RolloutMessage {
        /**
         * @throws IllegalArgumentException if the hash does not fit the record number
         */
        public StatusReport {
            int hashLength = auditRecordNumber == 0 ? 0 : PublishedVersion.HASH_LENGTH;
            if (auditRecordNumber < 0 || auditHash.length() != hashLength) {
                throw new IllegalArgumentException(
                        "invalid audit position: record "
                                + auditRecordNumber
                                + " with a hash of "
                                + auditHash.length()
                                + " characters");
            }
        }
    }

    /** An acceptor's reply to a {@link StatusReport}. */
    record LeaseReply(long requestId, boolean granted) implements RolloutMessage {}

    /** Offers the bytes of a version to an acceptor before the version is proposed. */
    record VersionOffer(String hash, int size) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException if the hash or the size is invalid
         */
        public VersionOffer {
            requireHash(hash);
            if (size <= 0 || size > PublishedVersion.MAX_BYTES) {
                throw new IllegalArgumentException("invalid size of a version: " + size);
            }
        }
    }

    /** Confirms that the sender has stored the bytes of a version durably. */
    record VersionStored(String hash) implements RolloutMessage {}

    /** Requests the chunk of a version that starts at an offset in bytes. */
    record ChunkRequest(String hash, int offset) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException if the hash is invalid or the offset is negative
         */
        public ChunkRequest {
            requireHash(hash);
            requireOffset(offset);
        }
    }

    /** A chunk of a version's bytes; the array is not copied and must not be modified. */
    record Chunk(String hash, int offset, byte[] data) implements RolloutMessage {
        /**
         * @throws IllegalArgumentException if the hash, the offset or the length is invalid
         */
        public Chunk {
            requireHash(hash);
            requireOffset(offset);
            if (data.length > VersionDownload.CHUNK_BYTES) {
                throw new IllegalArgumentException("chunk is too long: " + data.length + " bytes");
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
                    "invalid length of a version's hash: " + hash.length());
        }
    }

    private static void requireOffset(int offset) {
        if (offset < 0) {
            throw new IllegalArgumentException("negative offset: " + offset);
        }
    }
}
