package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Long results on their way to here, piece by piece, some at once; what is lost is asked for again,
 * what comes is checked.
 */
public final class Pieces {
    /**
     * Characters of a piece: what fits a datagram beside its envelope, where a byte may take two.
     */
    public static final int PIECE = 3 * 1024;

    /** Pieces of one result that are asked for at once, and how soon again. */
    private static final int WINDOW = 4;

    private static final Duration AGAIN = Duration.ofMillis(120);

    /** Times that nothing comes before one is given up: whoever needs it says so again. */
    private static final int TRIES = 12;

    /** Bytes of all that are under way. */
    private static final int MOST_BYTES = 4 << 20;

    private final Map<Key, Coming> coming = new LinkedHashMap<>();
    private long bytes;

    private record Key(String token, ClaimId id) {}

    /** A result that has come, from whom it was asked in which epoch. */
    public record Whole(String token, ClaimId id, String result, String from, long epoch) {}

    private static final class Coming {
        final Outcome outcome;
        final String[] pieces;
        final Duration[] asked;
        String from;
        long epoch;
        int missing;
        int silent;

        Coming(Outcome outcome) {
            this.outcome = outcome;
            pieces = new String[(outcome.size() + PIECE - 1) / PIECE];
            asked = new Duration[pieces.length];
            missing = pieces.length;
        }
    }

    /**
     * Asks for one, of whoever was named last; without room it is left, and may be asked for again.
     */
    void want(String token, ClaimId id, Outcome outcome, String from, long epoch, Duration now) {
        if (outcome.size() > Outcome.LONGEST || outcome.size() <= 0) {
            return;
        }
        Key key = new Key(token, id);
        Coming each = coming.get(key);
        if (each == null) {
            if (bytes + outcome.size() > MOST_BYTES) {
                return;
            }
            bytes += outcome.size();
            each = new Coming(outcome);
            coming.put(key, each);
        } else if (!from.equals(each.from)) {
            java.util.Arrays.fill(each.asked, null);
        }
        each.from = from;
        each.epoch = epoch;
    }

    private void gone(Key key) {
        Coming each = coming.remove(key);
        if (each != null) {
            bytes -= each.outcome.size();
        }
    }

    /** What to ask now. */
    List<Keeper.Out> tick(Duration now) {
        List<Keeper.Out> outs = new ArrayList<>();
        List<Key> over = new ArrayList<>();
        coming.forEach(
                (key, each) -> {
                    int waiting = 0;
                    boolean again = false;
                    for (int i = 0; i < each.pieces.length && waiting < WINDOW; i++) {
                        if (each.pieces[i] != null) {
                            continue;
                        }
                        waiting++;
                        if (each.asked[i] != null
                                && now.minus(each.asked[i]).compareTo(AGAIN) < 0) {
                            continue;
                        }
                        again |= each.asked[i] != null;
                        each.asked[i] = now;
                        outs.add(
                                new Keeper.Out(
                                        each.from,
                                        new CopyMessage.Want(key.token, key.id, i * PIECE)));
                    }
                    if (again && ++each.silent >= TRIES) {
                        over.add(key);
                    }
                });
        over.forEach(this::gone);
        return outs;
    }

    /** The result, once its last piece has come. */
    Optional<Whole> received(CopyMessage.Piece piece) {
        Key key = new Key(piece.token(), piece.id());
        Coming each = coming.get(key);
        int at = piece.from() / PIECE;
        if (each == null
                || piece.from() % PIECE != 0
                || at < 0
                || at >= each.pieces.length
                || each.pieces[at] != null) {
            return Optional.empty();
        }
        if (piece.bytes().length() != Math.min(PIECE, each.outcome.size() - piece.from())) {
            return Optional.empty();
        }
        each.pieces[at] = piece.bytes();
        each.silent = 0;
        if (--each.missing > 0) {
            return Optional.empty();
        }
        gone(key);
        String result = String.join("", each.pieces);
        // Guards against a result that is not what its end tells: it is asked for again by whoever
        // needs it.
        if (Outcome.sum(result) != each.outcome.sum()) {
            return Optional.empty();
        }
        return Optional.of(new Whole(key.token, key.id, result, each.from, each.epoch));
    }

    /** A piece of a result, as it is answered; null where there is none from there on. */
    public static CopyMessage.Piece cut(CopyMessage.Want want, String result) {
        if (want.from() < 0 || want.from() >= result.length()) {
            return null;
        }
        return new CopyMessage.Piece(
                want.token(),
                want.id(),
                want.from(),
                result.substring(want.from(), Math.min(result.length(), want.from() + PIECE)));
    }

    String state() {
        StringBuilder text = new StringBuilder();
        coming.forEach(
                (key, each) -> text.append('w').append(key).append(each.missing).append(each.from));
        return text.toString();
    }
}
