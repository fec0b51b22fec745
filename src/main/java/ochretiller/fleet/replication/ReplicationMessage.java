package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Messages of the replication protocol between the servers of a fleet; {@code docs/fleet-wire.md}
 * specifies their encoding.
 *
 * <p>Claims and outcomes go to the replicas of a token's range, and a majority of them decides.
 * Times are sent as remaining durations, since servers have no common clock.
 */
public sealed interface ReplicationMessage {
    /**
     * Asks a replica to grant a claim.
     *
     * @param remaining remaining time of the token's idempotency window
     * @param transitional whether the sender is about to stop claiming the operation
     */
    record ClaimRequest(
            long epoch,
            String token,
            ClaimId claimId,
            String fingerprint,
            Duration remaining,
            boolean transitional)
            implements ReplicationMessage {
        /** Creates a request of a server that will continue to claim the operation. */
        public ClaimRequest(
                long epoch, String token, ClaimId claimId, String fingerprint, Duration remaining) {
            this(epoch, token, claimId, fingerprint, remaining, false);
        }
    }

    /**
     * Asks a replica for its state of a token, without claiming the token.
     *
     * @param claimId ID of the query
     */
    record ClaimQuery(long epoch, String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * A replica's reply to a {@link ClaimRequest} or a {@link ClaimQuery}.
     *
     * @param otherClaim the completed claim, or else another claim that may be running
     * @param outcome the token's outcome, if the replica has one
     * @param changeNumber number of the replica's last change, durable before the reply
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

    /** Votes of a replica. A missing reply is never counted as a vote. Encoded by ordinal. */
    enum ClaimVote {
        /** The claim is granted and the grant is durable. */
        GRANTED,
        /** No other claim of the token is active at the replica. This vote grants nothing. */
        UNCLAIMED,
        /** Another claim of the token is active at the replica, which has no outcome. */
        CLAIMED_BY_OTHER,
        /** The token has an outcome. */
        COMPLETED,
        /** The sender's epoch is older than that of the replica. */
        STALE_EPOCH,
        /**
         * The replica does not have the complete range or does not know the epoch, so it must not
         * vote.
         */
        LAGGING,
        /** The sender has already released this claim. */
        RELEASED,
        /** The replica has no capacity for this claim, or for any new claim. */
        OVER_CAPACITY
    }

    /**
     * Reports the outcome of a claimed run to a replica.
     *
     * @param remaining remaining time of the token's idempotency window
     * @param changeNumbers the replicas' change numbers when they granted the claim: a replica that
     *     restarts with a lower one has a stale disk
     */
    record ClaimCompleted(
            long epoch,
            String token,
            ClaimId claimId,
            ClaimOutcome outcome,
            Duration remaining,
            Map<String, Long> changeNumbers)
            implements ReplicationMessage {}

    /** Confirms that an outcome is durable as of the replica's change with this number. */
    record OutcomeStored(long epoch, String token, ClaimId claimId, long changeNumber)
            implements ReplicationMessage {}

    /** States that a claim of the sender never ran and never will. */
    record ClaimRelease(String token, ClaimId claimId, Duration remaining)
            implements ReplicationMessage {}

    /** Asks the owner of a claim about its run; the owner releases a claim that will never run. */
    record OwnerQuery(String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * Asks a replica for entries of a range that the sender lacks. The receiver first adopts the
     * epoch, and no longer votes in older ones.
     *
     * @param nonce identifies the request
     * @param order order of a walk; ignored by other requests
     * @param cursor position at which the last page of a walk ended
     * @param sketch sketch of the sender's entries; empty for a walk or a request by digests
     * @param entryDigests digests of entries that the sender is known to lack; empty if none are
     *     known
     * @param placement the placement of the epoch, for a receiver that may not know it
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
         * Returns whether this request continues a walk, rather than asking by sketch or by
         * digests.
         */
        boolean isWalk() {
            return sketch.isEmpty() && entryDigests.isEmpty();
        }
    }

    /** Orders of a walk through a range. Encoded by ordinal. */
    enum WalkOrder {
        /**
         * Latest expiry first, since those entries matter longest. Entries that change during the
         * walk may be missed.
         */
        LATEST_EXPIRY,
        /** By token. No entry that exists throughout the walk is missed. */
        TOKEN_NAME
    }

    /**
     * The position at which a page of a walk ended.
     *
     * @param expiresAtNanos expiry of the last entry, in nanoseconds on the clock of the replica
     *     that sent the page
     * @param token the last token
     */
    record RangeCursor(long expiresAtNanos, String token) {
        static final RangeCursor START = new RangeCursor(Long.MAX_VALUE, "");

        /** Returns the expiry; the maximum value for {@link #START}. */
        Duration expiresAt() {
            return expiresAtNanos == Long.MAX_VALUE
                    ? Duration.ofSeconds(Long.MAX_VALUE)
                    : Duration.ofNanos(expiresAtNanos);
        }
    }

    /**
     * A page of entries of a range.
     *
     * @param cursor position at which the page ended
     * @param isLast whether the sender knows of no further entries that the receiver lacks
     * @param sourceComplete whether the sender has the complete range
     * @param sketchDecoded false if the sketch could not be decoded because too much differs
     * @param remainingDigests digests of further entries that the receiver lacks, possibly not of
     *     all
     * @param entryCount number of entries that the sender has in the range
     * @param rangeDigest digest of all entries that the sender has in the range
     */
    record RangePage(
            long epoch,
            int range,
            long nonce,
            List<TransferredEntry> entries,
            RangeCursor cursor,
            boolean isLast,
            boolean sourceComplete,
            boolean sketchDecoded,
            List<Long> remainingDigests,
            int entryCount,
            long rangeDigest)
            implements ReplicationMessage {}

    /**
     * The digest of a range. A receiver whose digest differs pulls the entries that it lacks and
     * replies with its own digest.
     *
     * @param isReply whether this message is itself a reply, to which no reply is sent
     */
    record RangeDigest(long epoch, int range, long digest, int entryCount, boolean isReply)
            implements ReplicationMessage {}

    /** Asks a peer, after a restart, for the highest change number observed from the sender. */
    record ChangeNumberQuery(long nonce) implements ReplicationMessage {}

    /** The reply to a {@link ChangeNumberQuery}; the number is 0 if none was observed. */
    record ChangeNumberReply(long nonce, long changeNumber) implements ReplicationMessage {}

    /** Asks for the chunk of a result at this byte offset. */
    record ChunkRequest(String token, ClaimId claimId, int offset) implements ReplicationMessage {}

    /** A chunk of a result, one character per byte. */
    record Chunk(String token, ClaimId claimId, int offset, String data)
            implements ReplicationMessage {}

    /** An entry sent to another replica; its expiry is sent as the remaining duration. */
    record TransferredEntry(String token, ReplicaEntry entry, Duration remaining) {
        int estimatedBytes() {
            return entry.estimatedBytes() + token.length();
        }
    }
}
