package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Messages of the replication protocol between the servers of a fleet; {@code docs/fleet-wire.md}
 * has their encoding.
 *
 * <p>Claims and outcomes go to the replicas of a token's range, and a majority of them decides.
 * Times are sent as remaining durations, since servers have no common clock.
 */
public sealed interface ReplicationMessage {
    /**
     * Asks a replica to grant a claim.
     *
     * @param remaining rest of the token's idempotency window
     * @param transitional whether the sender is about to stop claiming such operations
     */
    record ClaimRequest(
            long epoch,
            String token,
            ClaimId claimId,
            String fingerprint,
            Duration remaining,
            boolean transitional)
            implements ReplicationMessage {
        /** A claim of a server that goes on claiming. */
        public ClaimRequest(
                long epoch, String token, ClaimId claimId, String fingerprint, Duration remaining) {
            this(epoch, token, claimId, fingerprint, remaining, false);
        }
    }

    /**
     * Asks a replica what it knows about a token, without claiming it.
     *
     * @param claimId names the query
     */
    record ClaimQuery(long epoch, String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * A replica's answer to a {@link ClaimRequest} or a {@link ClaimQuery}.
     *
     * @param otherClaim the claim that has completed, or else one that may be running
     * @param outcome how the token has ended, if it has
     * @param changeNumber the replica's last change, which is durable by now
     */
    record ClaimReply(
            long epoch,
            String token,
            ClaimId claimId,
            ClaimVote vote,
            Optional<ClaimId> otherClaim,
            Optional<ClaimOutcome> outcome,
            long changeNumber)
            implements ReplicationMessage {}

    /**
     * What a replica can answer. A missing answer is none of these and is never counted as one.
     * Encoded by position.
     */
    enum ClaimVote {
        /** The claim is granted, durably. */
        GRANTED,
        /** Nobody has claimed the token here; nothing is granted by this. */
        UNCLAIMED,
        /** Another server has claimed it, and this replica knows of no outcome. */
        HELD,
        /** It has completed. */
        COMPLETED,
        /** The sender's epoch is over. */
        STALE_EPOCH,
        /**
         * The replica does not have all of the range yet, or does not know the epoch: its vote
         * would not count.
         */
        LAGGING,
        /** The sender has released this claim itself. */
        RELEASED,
        /** No capacity, for this token or at all. */
        OVER_CAPACITY
    }

    /**
     * Reports to a replica how a claimed run has ended.
     *
     * @param remaining rest of the token's idempotency window
     * @param changeNumbers changes that the claim rests on, by replica: one that comes back with
     *     fewer has a stale disk
     */
    record ClaimCompleted(
            long epoch,
            String token,
            ClaimId claimId,
            ClaimOutcome outcome,
            Duration remaining,
            Map<String, Long> changeNumbers)
            implements ReplicationMessage {}

    /** Confirms that an outcome is durable, as of the replica's change of this number. */
    record OutcomeStored(long epoch, String token, ClaimId claimId, long changeNumber)
            implements ReplicationMessage {}

    /** States that a claim of the sender never ran and never will. */
    record ClaimRelease(String token, ClaimId claimId, Duration remaining)
            implements ReplicationMessage {}

    /** Asks the owner of a claim whether it runs; the owner releases it if it never will. */
    record OwnerQuery(String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * Asks a replica for entries of a range that the sender lacks. The receiver adopts the epoch
     * first, so that it answers for no older one from then on.
     *
     * @param nonce names the request
     * @param order in which way the range is walked through, where it is
     * @param cursor where the last page ended
     * @param sketch what the sender has; empty for a walk or a request by digests
     * @param entryDigests digests of entries that the sender is known to lack; empty where none are
     *     known
     * @param placement the epoch, for a receiver that may not know it
     */
    record RangeRequest(
            long epoch,
            int range,
            long nonce,
            WalkOrder order,
            RangeCursor cursor,
            Optional<SetSketch> sketch,
            List<Long> entryDigests,
            Optional<ReplicaPlacement> placement)
            implements ReplicationMessage {
        /**
         * Returns whether the range is walked through, rather than compared by a sketch or read by
         * digests.
         */
        boolean isWalk() {
            return sketch.isEmpty() && entryDigests.isEmpty();
        }
    }

    /** Orders of a walk through a range. Encoded by position. */
    enum WalkOrder {
        /**
         * Latest expiry first: those entries matter longest. What changes during the walk may be
         * passed over.
         */
        LATEST_EXPIRY,
        /** By token: nothing that was there all the time is passed over. */
        TOKEN_NAME
    }

    /**
     * Where a page of a walk ended.
     *
     * @param expiresAtNanos expiry of the last entry, in nanoseconds on the clock of the replica
     *     that was asked
     * @param token the last token
     */
    record RangeCursor(long expiresAtNanos, String token) {
        static final RangeCursor START = new RangeCursor(Long.MAX_VALUE, "");

        /** Returns the expiry; of the start of a walk the latest that there is. */
        Duration expiresAt() {
            return expiresAtNanos == Long.MAX_VALUE
                    ? Duration.ofSeconds(Long.MAX_VALUE)
                    : Duration.ofNanos(expiresAtNanos);
        }
    }

    /**
     * Some entries of a range.
     *
     * @param cursor where the page ended
     * @param last whether there is no more that the sender knows the receiver to lack
     * @param sourceComplete whether the sender has all of the range
     * @param sketchDecoded false where the sketch could not be decoded, since too much differs
     * @param remainingDigests digests of entries that the receiver lacks beside those sent, or some
     *     of them
     * @param entryCount entries that the sender has in the range
     * @param rangeDigest digest of all of them
     */
    record RangePage(
            long epoch,
            int range,
            long nonce,
            List<TransferredEntry> entries,
            RangeCursor cursor,
            boolean last,
            boolean sourceComplete,
            boolean sketchDecoded,
            List<Long> remainingDigests,
            int entryCount,
            long rangeDigest)
            implements ReplicationMessage {}

    /**
     * The digest of a range. A receiver whose digest differs pulls what it lacks and answers with
     * its own.
     *
     * @param reply whether this answers such a message, so that it is not answered again
     */
    record RangeDigest(long epoch, int range, long digest, int entryCount, boolean reply)
            implements ReplicationMessage {}

    /** Asks a peer which change number of the sender it has heard of last; sent after a restart. */
    record ChangeNumberQuery(long nonce) implements ReplicationMessage {}

    /** Answers a {@link ChangeNumberQuery}; 0 where none was heard of. */
    record ChangeNumberReply(long nonce, long changeNumber) implements ReplicationMessage {}

    /** Asks for a chunk of a result, from this byte offset on. */
    record ChunkRequest(String token, ClaimId claimId, int offset) implements ReplicationMessage {}

    /** A chunk of a result, one character a byte. */
    record Chunk(String token, ClaimId claimId, int offset, String data)
            implements ReplicationMessage {}

    /** An entry on its way to another replica; its expiry is sent as the remaining duration. */
    record TransferredEntry(String token, ReplicaEntry entry, Duration remaining) {
        int estimatedBytes() {
            return entry.estimatedBytes() + token.length();
        }
    }
}
