package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.epochs.Layout;

/** What is said about tokens, from one server to another, each in an epoch. */
public sealed interface CopyMessage {
    /**
     * May I run this? {@code left} is the rest of its window; {@code leaves} is said by a server
     * that will not claim its like for long.
     */
    record Claim(long epoch, String token, ClaimId id, String body, Duration left, boolean leaves)
            implements CopyMessage {
        public Claim(long epoch, String token, ClaimId id, String body, Duration left) {
            this(epoch, token, id, body, left, false);
        }
    }

    /** What do you know of it? Nothing is claimed by that; {@code id} names the question. */
    record Look(long epoch, String token, ClaimId id) implements CopyMessage {}

    /**
     * A keeper's word on a claim.
     *
     * @param other the claim that has ended, or else one that may be running
     * @param number of the keeper's last change, which its disk has by now
     */
    record Answer(
            long epoch,
            String token,
            ClaimId id,
            Word word,
            Optional<ClaimId> other,
            Optional<Outcome> outcome,
            long number)
            implements CopyMessage {}

    /** What a keeper can say. Silence is no word, and never counted as one. */
    enum Word {
        /** Yours, and on disk. */
        GRANTED,
        /** Nobody has claimed it here; nothing is granted by that. */
        FREE,
        /** Another has claimed it, and I know of no end. */
        HELD,
        /** It has ended. */
        DONE,
        /** Your epoch is over; I know a later one. */
        STALE,
        /** I do not have all of that range yet, or not this epoch: no word of mine would count. */
        BEHIND,
        /** You have released this claim yourself. */
        RELEASED,
        /** No room, for this token or at all. */
        FULL
    }

    /**
     * It has ended so. {@code heard} are the numbers of changes that its claim rests on, by keeper.
     */
    record Ended(
            long epoch,
            String token,
            ClaimId id,
            Outcome outcome,
            Duration left,
            Map<String, Long> heard)
            implements CopyMessage {}

    /** That end is on disk, as of the keeper's change of this number. */
    record Kept(long epoch, String token, ClaimId id, long number) implements CopyMessage {}

    /** My claim never ran and never will. */
    record Release(String token, ClaimId id, Duration left) implements CopyMessage {}

    /** Does this claim of yours run? Its owner releases it if it never will. */
    record Whether(String token, ClaimId id) implements CopyMessage {}

    /**
     * What do you have of a range that I lack? Who is asked answers for no older epoch from here
     * on.
     *
     * @param nonce names the question
     * @param order which way a walk goes through the range
     * @param place where the last page ended, and nothing at the first
     * @param sketch of what the asker has, or null for a walk through all of it
     * @param marks of entries that the last page has told the asker to lack; empty where none were
     *     told
     * @param layout the epoch, for one that may not know it, or null
     */
    record Fetch(
            long epoch,
            int range,
            long nonce,
            Order order,
            Place place,
            Sketch sketch,
            List<Long> marks,
            Layout layout)
            implements CopyMessage {}

    /** Ways through a range. */
    enum Order {
        /**
         * Those whose windows end last first: they matter longest. What changes meanwhile may be
         * passed over.
         */
        NEWEST,
        /** By their tokens: nothing that was there all the time is passed over. */
        TOKEN
    }

    /**
     * Where a page ended: the end of a window on the clock of who was asked, in nanoseconds, and a
     * token.
     */
    record Place(long untilNs, String token) {
        static final Place START = new Place(Long.MAX_VALUE, "");
    }

    /**
     * Some of what a range has.
     *
     * @param place where it ended
     * @param last whether there is no more that the sender knows the asker to lack
     * @param whole whether the sender has all of the range
     * @param told false where the sketch told nothing, since too much differs
     * @param rest marks of what a sketch has told beside what is here, or some of them
     * @param count entries that the sender has of the range
     * @param digest of all of them
     */
    record Page(
            long epoch,
            int range,
            long nonce,
            List<Item> items,
            Place place,
            boolean last,
            boolean whole,
            boolean told,
            List<Long> rest,
            int count,
            long digest)
            implements CopyMessage {}

    /**
     * This is how I have that range, with so many entries; whoever has it otherwise fetches what it
     * lacks, and says how it has it itself.
     */
    record Compare(long epoch, int range, long digest, int count, boolean back)
            implements CopyMessage {}

    /** I have come back: the change of which number did you hear of last from me? */
    record Recollect(long nonce) implements CopyMessage {}

    /** That one; 0 for none. */
    record Recollected(long nonce, long number) implements CopyMessage {}

    /** A piece of a long result, from this byte on. */
    record Want(String token, ClaimId id, int from) implements CopyMessage {}

    /** That piece, a character a byte. */
    record Piece(String token, ClaimId id, int from, String bytes) implements CopyMessage {}

    /** One entry on its way; its window's end is told as the rest of it. */
    record Item(String token, Entry entry, Duration left) {
        int bytes() {
            return entry.bytes() + token.length();
        }
    }
}
