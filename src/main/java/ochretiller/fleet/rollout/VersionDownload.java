package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.PublishedVersion;

/**
 * The bytes of a version on their way to here: some pieces at once, from one source, from another
 * where that one is silent, with pauses that grow. What has come stays, whoever it came from.
 */
public final class VersionDownload {
    /** Bytes of a piece: what fits a datagram beside its envelope. */
    public static final int CHUNK_BYTES = 4 * 1024;

    private static final int AT_ONCE = 4;
    private static final Duration FIRST = Duration.ofMillis(150);
    private static final Duration LAST = Duration.ofSeconds(5);

    /** Times that a source is silent before another is asked. */
    private static final int SILENT = 2;

    private final RandomGenerator chance;
    private PublishedVersion wanted = PublishedVersion.NONE;
    private byte[][] pieces = {};
    private int missing;
    private String source;
    private int silent;
    private Duration pause = FIRST;
    private Duration next = Duration.ZERO;

    /** One question. */
    public record OutboundChunkRequest(String recipient, RolloutMessage.ChunkRequest request) {}

    public VersionDownload(RandomGenerator chance) {
        this.chance = chance;
    }

    /** This one is needed now; what is under way of another is forgotten. */
    public void start(PublishedVersion version, Duration now) {
        if (version.hash().equals(wanted.hash())) {
            return;
        }
        wanted = version;
        pieces =
                version.usesLocalFiles()
                        ? new byte[0][]
                        : new byte[(version.sizeBytes() + CHUNK_BYTES - 1) / CHUNK_BYTES][];
        missing = pieces.length;
        source = null;
        silent = 0;
        pause = FIRST;
        next = now;
    }

    public boolean isIncomplete() {
        return missing > 0;
    }

    /**
     * What to ask now.
     *
     * @param sources servers that are there and may have it, the likeliest first
     */
    public List<OutboundChunkRequest> tick(List<String> sources, Duration now) {
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

    private List<OutboundChunkRequest> asks() {
        List<OutboundChunkRequest> asks = new ArrayList<>();
        for (int i = 0; i < pieces.length && asks.size() < AT_ONCE; i++) {
            if (pieces[i] == null) {
                asks.add(
                        new OutboundChunkRequest(
                                source,
                                new RolloutMessage.ChunkRequest(wanted.hash(), i * CHUNK_BYTES)));
            }
        }
        return asks;
    }

    /**
     * All bytes, once the last piece has come; whether they are what the hash says is to be looked
     * at by whoever takes them.
     */
    public Optional<byte[]> accept(RolloutMessage.Chunk message, Duration now) {
        int which = message.offset() / CHUNK_BYTES;
        boolean fits =
                missing > 0
                        && message.hash().equals(wanted.hash())
                        && message.offset() % CHUNK_BYTES == 0
                        && which < pieces.length
                        && pieces[which] == null
                        && message.data().length
                                == Math.min(CHUNK_BYTES, wanted.sizeBytes() - message.offset());
        if (!fits) {
            return Optional.empty();
        }
        pieces[which] = message.data();
        missing--;
        silent = 0;
        pause = FIRST;
        next = now; // the next ones at once
        if (missing > 0) {
            return Optional.empty();
        }
        byte[] all = new byte[wanted.sizeBytes()];
        for (int i = 0; i < pieces.length; i++) {
            System.arraycopy(pieces[i], 0, all, i * CHUNK_BYTES, pieces[i].length);
        }
        return Optional.of(all);
    }

    /** What came was not what its hash says: all of it is asked for again, of another. */
    public void discardCorrupt(Duration now) {
        Arrays.fill(pieces, null);
        missing = pieces.length;
        silent = SILENT;
        next = now.plus(pause);
    }

    /** A piece of what is here, as it is answered. */
    public static Optional<RolloutMessage.Chunk> slice(
            RolloutMessage.ChunkRequest want, byte[] all) {
        if (want.offset() >= all.length) {
            return Optional.empty();
        }
        return Optional.of(
                new RolloutMessage.Chunk(
                        want.hash(),
                        want.offset(),
                        Arrays.copyOfRange(
                                all,
                                want.offset(),
                                Math.min(all.length, want.offset() + CHUNK_BYTES))));
    }
}
