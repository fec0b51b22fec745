package ochretiller.fleet.replication;

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
public final class ChunkAssembler {
    /**
     * Characters of a piece: what fits a datagram beside its envelope, where a byte may take two.
     */
    public static final int CHUNK_BYTES = 3 * 1024;

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
    public record AssembledResult(
            String token, ClaimId claimId, String result, String source, long epoch) {}

    private static final class Coming {
        final ClaimOutcome outcome;
        final String[] pieces;
        final Duration[] asked;
        String from;
        long epoch;
        int missing;
        int silent;

        Coming(ClaimOutcome outcome) {
            this.outcome = outcome;
            pieces = new String[(outcome.resultSize() + CHUNK_BYTES - 1) / CHUNK_BYTES];
            asked = new Duration[pieces.length];
            missing = pieces.length;
        }
    }

    /**
     * Asks for one, of whoever was named last; without room it is left, and may be asked for again.
     */
    void request(
            String token, ClaimId id, ClaimOutcome outcome, String from, long epoch, Duration now) {
        if (outcome.resultSize() > ClaimOutcome.MAX_RESULT_BYTES || outcome.resultSize() <= 0) {
            return;
        }
        Key key = new Key(token, id);
        Coming each = coming.get(key);
        if (each == null) {
            if (bytes + outcome.resultSize() > MOST_BYTES) {
                return;
            }
            bytes += outcome.resultSize();
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
            bytes -= each.outcome.resultSize();
        }
    }

    /** What to ask now. */
    List<Replica.OutboundMessage> tick(Duration now) {
        List<Replica.OutboundMessage> outs = new ArrayList<>();
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
                                new Replica.OutboundMessage(
                                        each.from,
                                        new ReplicationMessage.ChunkRequest(
                                                key.token, key.id, i * CHUNK_BYTES)));
                    }
                    if (again && ++each.silent >= TRIES) {
                        over.add(key);
                    }
                });
        over.forEach(this::gone);
        return outs;
    }

    /** The result, once its last piece has come. */
    Optional<AssembledResult> accept(ReplicationMessage.Chunk piece) {
        Key key = new Key(piece.token(), piece.claimId());
        Coming each = coming.get(key);
        int at = piece.offset() / CHUNK_BYTES;
        if (each == null
                || piece.offset() % CHUNK_BYTES != 0
                || at < 0
                || at >= each.pieces.length
                || each.pieces[at] != null) {
            return Optional.empty();
        }
        if (piece.data().length()
                != Math.min(CHUNK_BYTES, each.outcome.resultSize() - piece.offset())) {
            return Optional.empty();
        }
        each.pieces[at] = piece.data();
        each.silent = 0;
        if (--each.missing > 0) {
            return Optional.empty();
        }
        gone(key);
        String result = String.join("", each.pieces);
        // Guards against a result that is not what its end tells: it is asked for again by whoever
        // needs it.
        if (ClaimOutcome.checksum(result) != each.outcome.checksum()) {
            return Optional.empty();
        }
        return Optional.of(new AssembledResult(key.token, key.id, result, each.from, each.epoch));
    }

    /** A piece of a result, as it is answered; null where there is none from there on. */
    public static ReplicationMessage.Chunk slice(
            ReplicationMessage.ChunkRequest want, String result) {
        if (want.offset() < 0 || want.offset() >= result.length()) {
            return null;
        }
        return new ReplicationMessage.Chunk(
                want.token(),
                want.claimId(),
                want.offset(),
                result.substring(
                        want.offset(), Math.min(result.length(), want.offset() + CHUNK_BYTES)));
    }

    String describeState() {
        StringBuilder text = new StringBuilder();
        coming.forEach(
                (key, each) -> text.append('w').append(key).append(each.missing).append(each.from));
        return text.toString();
    }
}
