package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;

/** What is said about tokens, from one server to another, each in an epoch. */
public sealed interface ReplicationMessage {
    /**
     * May I run this? {@code left} is the rest of its window; {@code leaves} is said by a server
     * that will not claim its like for long.
     */
    record ClaimRequest(
            long epoch,
            String token,
            ClaimId claimId,
            String fingerprint,
            Duration remaining,
            boolean transitional)
            implements ReplicationMessage {
        public ClaimRequest(long epoch, String token, ClaimId id, String body, Duration left) {
            this(epoch, token, id, body, left, false);
        }
    }

    /** What do you know of it? Nothing is claimed by that; {@code id} names the question. */
    record ClaimQuery(long epoch, String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * A keeper's word on a claim.
     *
     * @param otherClaim the claim that has ended, or else one that may be running
     * @param changeNumber of the keeper's last change, which its disk has by now
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

    /** What a keeper can say. Silence is no word, and never counted as one. */
    enum ClaimVote {
        /** Yours, and on disk. */
        GRANTED,
        /** Nobody has claimed it here; nothing is granted by that. */
        UNCLAIMED,
        /** Another has claimed it, and I know of no end. */
        HELD,
        /** It has ended. */
        COMPLETED,
        /** Your epoch is over; I know a later one. */
        STALE_EPOCH,
        /** I do not have all of that range yet, or not this epoch: no word of mine would count. */
        LAGGING,
        /** You have released this claim yourself. */
        RELEASED,
        /** No room, for this token or at all. */
        OVER_CAPACITY
    }

    /**
     * It has ended so. {@code heard} are the numbers of changes that its claim rests on, by keeper.
     */
    record ClaimCompleted(
            long epoch,
            String token,
            ClaimId claimId,
            ClaimOutcome outcome,
            Duration remaining,
            Map<String, Long> changeNumbers)
            implements ReplicationMessage {}

    /** That end is on disk, as of the keeper's change of this number. */
    record OutcomeStored(long epoch, String token, ClaimId claimId, long changeNumber)
            implements ReplicationMessage {}

    /** My claim never ran and never will. */
    record ClaimRelease(String token, ClaimId claimId, Duration remaining)
            implements ReplicationMessage {}

    /** Does this claim of yours run? Its owner releases it if it never will. */
    record OwnerQuery(String token, ClaimId claimId) implements ReplicationMessage {}

    /**
     * What do you have of a range that I lack? Who is asked answers for no older epoch from here
     * on.
     *
     * @param nonce names the question
     * @param order which way a walk goes through the range
     * @param cursor where the last page ended, and nothing at the first
     * @param sketch of what the asker has, or null for a walk through all of it
     * @param entryDigests of entries that the last page has told the asker to lack; empty where
     *     none were told
     * @param placement the epoch, for one that may not know it, or null
     */
    record RangeRequest(
            long epoch,
            int range,
            long nonce,
            WalkOrder order,
            RangeCursor cursor,
            SetSketch sketch,
            List<Long> entryDigests,
            ReplicaPlacement placement)
            implements ReplicationMessage {}

    /** Ways through a range. */
    enum WalkOrder {
        /**
         * Those whose windows end last first: they matter longest. What changes meanwhile may be
         * passed over.
         */
        LATEST_EXPIRY,
        /** By their tokens: nothing that was there all the time is passed over. */
        TOKEN_NAME
    }

    /**
     * Where a page ended: the end of a window on the clock of who was asked, in nanoseconds, and a
     * token.
     */
    record RangeCursor(long expiresAtNanos, String token) {
        static final RangeCursor START = new RangeCursor(Long.MAX_VALUE, "");
    }

    /**
     * Some of what a range has.
     *
     * @param cursor where it ended
     * @param last whether there is no more that the sender knows the asker to lack
     * @param sourceComplete whether the sender has all of the range
     * @param sketchDecoded false where the sketch told nothing, since too much differs
     * @param remainingDigests marks of what a sketch has told beside what is here, or some of them
     * @param entryCount entries that the sender has of the range
     * @param rangeDigest of all of them
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
     * This is how I have that range, with so many entries; whoever has it otherwise fetches what it
     * lacks, and says how it has it itself.
     */
    record RangeDigest(long epoch, int range, long digest, int entryCount, boolean reply)
            implements ReplicationMessage {}

    /** I have come back: the change of which number did you hear of last from me? */
    record ChangeNumberQuery(long nonce) implements ReplicationMessage {}

    /** That one; 0 for none. */
    record ChangeNumberReply(long nonce, long changeNumber) implements ReplicationMessage {}

    /** A piece of a long result, from this byte on. */
    record ChunkRequest(String token, ClaimId claimId, int offset) implements ReplicationMessage {}

    /** That piece, a character a byte. */
    record Chunk(String token, ClaimId claimId, int offset, String data)
            implements ReplicationMessage {}

    /** One entry on its way; its window's end is told as the rest of it. */
    record TransferredEntry(String token, ReplicaEntry entry, Duration remaining) {
        int estimatedBytes() {
            return entry.estimatedBytes() + token.length();
        }
    }
}
