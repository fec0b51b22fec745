package ochretiller.fleet.versions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.epochs.Rollout;

/**
 * The bytes of a version on their way to here: some pieces at once, from one source, from another
 * where that one is silent, with pauses that grow. What has come stays, whoever it came from.
 */
public final class Gather {
    /** Bytes of a piece: what fits a datagram beside its envelope. */
    public static final int PIECE = 4 * 1024;

    private static final int AT_ONCE = 4;
    private static final Duration FIRST = Duration.ofMillis(150);
    private static final Duration LAST = Duration.ofSeconds(5);

    /** Times that a source is silent before another is asked. */
    private static final int SILENT = 2;

    private final RandomGenerator chance;
    private Rollout.Version wanted = Rollout.Version.NONE;
    private byte[][] pieces = {};
    private int missing;
    private String source;
    private int silent;
    private Duration pause = FIRST;
    private Duration next = Duration.ZERO;

    /** One question. */
    public record Ask(String to, VersionMessage.WantBytes message) {}

    public Gather(RandomGenerator chance) {
        this.chance = chance;
    }

    /** This one is needed now; what is under way of another is forgotten. */
    public void want(Rollout.Version version, Duration now) {
        if (version.hash().equals(wanted.hash())) {
            return;
        }
        wanted = version;
        pieces = version.own() ? new byte[0][] : new byte[(version.size() + PIECE - 1) / PIECE][];
        missing = pieces.length;
        source = null;
        silent = 0;
        pause = FIRST;
        next = now;
    }

    public boolean waits() {
        return missing > 0;
    }

    /**
     * What to ask now.
     *
     * @param sources servers that are there and may have it, the likeliest first
     */
    public List<Ask> tick(List<String> sources, Duration now) {
        if (missing == 0 || now.compareTo(next) < 0 || sources.isEmpty()) {
            return List.of();
        }
        if (source == null || !sources.contains(source) || silent >= SILENT) {
            // Among the first few by chance: a version that all need is not to be asked of one.
            List<String> others = new ArrayList<>(sources);
            if (others.size() > 1) {
                others.remove(source);
            }
            source = others.get(chance.nextInt(Math.min(others.size(), AT_ONCE)));
            silent = 0;
        }
        silent++;
        next =
                now.plus(pause.dividedBy(2))
                        .plus(Duration.ofNanos((long) (pause.toNanos() * chance.nextDouble())));
        pause = pause.multipliedBy(2).compareTo(LAST) < 0 ? pause.multipliedBy(2) : LAST;
        return asks();
    }

    private List<Ask> asks() {
        List<Ask> asks = new ArrayList<>();
        for (int i = 0; i < pieces.length && asks.size() < AT_ONCE; i++) {
            if (pieces[i] == null) {
                asks.add(new Ask(source, new VersionMessage.WantBytes(wanted.hash(), i * PIECE)));
            }
        }
        return asks;
    }

    /**
     * All bytes, once the last piece has come; whether they are what the hash says is to be looked
     * at by whoever takes them.
     */
    public Optional<byte[]> received(VersionMessage.Bytes message, Duration now) {
        int which = message.from() / PIECE;
        boolean fits =
                missing > 0
                        && message.hash().equals(wanted.hash())
                        && message.from() % PIECE == 0
                        && which < pieces.length
                        && pieces[which] == null
                        && message.bytes().length
                                == Math.min(PIECE, wanted.size() - message.from());
        if (!fits) {
            return Optional.empty();
        }
        pieces[which] = message.bytes();
        missing--;
        silent = 0;
        pause = FIRST;
        next = now; // the next ones at once
        if (missing > 0) {
            return Optional.empty();
        }
        byte[] all = new byte[wanted.size()];
        for (int i = 0; i < pieces.length; i++) {
            System.arraycopy(pieces[i], 0, all, i * PIECE, pieces[i].length);
        }
        return Optional.of(all);
    }

    /** What came was not what its hash says: all of it is asked for again, of another. */
    public void spoilt(Duration now) {
        Arrays.fill(pieces, null);
        missing = pieces.length;
        silent = SILENT;
        next = now.plus(pause);
    }

    /** A piece of what is here, as it is answered. */
    public static Optional<VersionMessage.Bytes> cut(VersionMessage.WantBytes want, byte[] all) {
        if (want.from() >= all.length) {
            return Optional.empty();
        }
        return Optional.of(
                new VersionMessage.Bytes(
                        want.hash(),
                        want.from(),
                        Arrays.copyOfRange(
                                all, want.from(), Math.min(all.length, want.from() + PIECE))));
    }
}
