package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.epochs.Layout;

/** What is said about tokens, from one server to another, each in an epoch. */
public sealed interface CopyMessage {
    /** May I run this? {@code left} is the rest of its window. */
    record Claim(long epoch, String token, ClaimId id, String body, Duration left) implements CopyMessage {
    }

    /** What do you know of it? Nothing is claimed by that; {@code id} names the question. */
    record Look(long epoch, String token, ClaimId id) implements CopyMessage {
    }

    /** A keeper's word on a claim. */
    record Answer(long epoch, String token, ClaimId id, Word word, Optional<ClaimId> other, Optional<Outcome> outcome) implements CopyMessage {
    }

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

    /** It has ended so. */
    record Ended(long epoch, String token, ClaimId id, Outcome outcome, Duration left) implements CopyMessage {
    }

    /** That end is on disk. */
    record Kept(long epoch, String token, ClaimId id) implements CopyMessage {
    }

    /** My claim never ran and never will. */
    record Release(String token, ClaimId id, Duration left) implements CopyMessage {
    }

    /** Does this claim of yours run? Its owner releases it if it never will. */
    record Whether(String token, ClaimId id) implements CopyMessage {
    }

    /** All of a range, page by page, from behind this token on; who is asked answers for no older epoch from here on. */
    record Fetch(long epoch, int range, String after, Layout layout) implements CopyMessage {
    }

    /** A page; {@code last} where there is no more, {@code whole} where the sender has all of the range. */
    record Page(long epoch, int range, String after, List<Item> items, boolean last, boolean whole) implements CopyMessage {
    }

    /** This is how I have that range; whoever has it otherwise sends some of what it has. */
    record Compare(long epoch, int range, long digest) implements CopyMessage {
    }

    /** Some of a range, for one that has it otherwise. */
    record Repair(int range, List<Item> items) implements CopyMessage {
    }

    /** One entry on its way; its window's end is told as the rest of it. */
    record Item(String token, Entry entry, Duration left) {
    }
}
