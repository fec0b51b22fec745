package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.PublishedVersion;

/**
 * Downloads the bytes of a version in chunks: several at once from one source, from another where
 * that one is unresponsive, with exponential backoff and jitter. Chunks that have arrived are kept
 * whoever sent them. Not thread-safe; time and random numbers are handed in.
 */
public final class VersionDownload {
    /** Bytes of a chunk: what fits into a datagram beside its envelope. */
    public static final int CHUNK_BYTES = 4 * 1024;

    /** Chunks that are requested at once. */
    private static final int WINDOW = 4;

    /**
     * A source is drawn from this many of the likeliest ones, so that not all servers ask the same
     * one.
     */
    private static final int SOURCE_CHOICES = 4;

    /** Consecutive unanswered requests after which another source is asked. */
    private static final int MAX_TIMEOUTS = 2;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);
    private static final byte[] MISSING = {};

    private final RandomGenerator random;
    private PublishedVersion version = PublishedVersion.NONE;
    private byte[][] chunks = {};
    private int missingChunks;
    private Optional<String> source = Optional.empty();
    private int timeouts;
    private Duration backoff = FIRST_BACKOFF;
    private Duration nextRequest = Duration.ZERO;

    /**
     * @param random draws sources and spreads requests over time
     */
    public VersionDownload(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Starts the download of a version, unless it is the present one; what has arrived of another
     * is forgotten.
     */
    public void start(PublishedVersion wanted, Duration now) {
        if (wanted.hash().equals(version.hash())) {
            return;
        }
        version = wanted;
        missingChunks =
                wanted.usesLocalFiles() ? 0 : (wanted.sizeBytes() + CHUNK_BYTES - 1) / CHUNK_BYTES;
        chunks = new byte[missingChunks][];
        Arrays.fill(chunks, MISSING);
        source = Optional.empty();
        timeouts = 0;
        backoff = FIRST_BACKOFF;
        nextRequest = now;
    }

    /** Returns whether chunks are missing. */
    public boolean isIncomplete() {
        return missingChunks > 0;
    }

    /**
     * Returns the requests that are due.
     *
     * @param sources reachable servers that may have the version, the likeliest first
     */
    public List<OutboundChunkRequest> tick(List<String> sources, Duration now) {
        if (missingChunks == 0 || now.compareTo(nextRequest) < 0 || sources.isEmpty()) {
            return List.of();
        }
        if (source.isEmpty() || !sources.contains(source.get()) || timeouts >= MAX_TIMEOUTS) {
            source = Optional.of(drawSource(sources));
            timeouts = 0;
        }
        timeouts++;
        Duration jitter = Duration.ofNanos((long) (backoff.toNanos() * random.nextDouble()));
        nextRequest = now.plus(backoff.dividedBy(2)).plus(jitter);
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
        return requestsTo(source.get());
    }

    private String drawSource(List<String> sources) {
        List<String> others = new ArrayList<>(sources);
        if (others.size() > 1) {
            source.ifPresent(others::remove);
        }
        return others.get(random.nextInt(Math.min(others.size(), SOURCE_CHOICES)));
    }

    private List<OutboundChunkRequest> requestsTo(String recipient) {
        List<OutboundChunkRequest> requests = new ArrayList<>();
        for (int chunk = 0; chunk < chunks.length && requests.size() < WINDOW; chunk++) {
            if (isMissing(chunk)) {
                requests.add(
                        new OutboundChunkRequest(
                                recipient,
                                new RolloutMessage.ChunkRequest(
                                        version.hash(), chunk * CHUNK_BYTES)));
            }
        }
        return requests;
    }

    private boolean isMissing(int chunk) {
        return chunks[chunk].length == 0;
    }

    /**
     * Takes a chunk, and returns the version's bytes once the last one has arrived; the caller has
     * to compare them with the version's hash. Chunks that are not missing are ignored.
     */
    public Optional<byte[]> accept(RolloutMessage.Chunk received, Duration now) {
        if (!isExpected(received)) {
            return Optional.empty();
        }
        chunks[received.offset() / CHUNK_BYTES] = received.data();
        missingChunks--;
        timeouts = 0;
        backoff = FIRST_BACKOFF;
        nextRequest = now;
        return missingChunks > 0 ? Optional.empty() : Optional.of(assemble());
    }

    private boolean isExpected(RolloutMessage.Chunk received) {
        int chunk = received.offset() / CHUNK_BYTES;
        boolean inPlace =
                received.hash().equals(version.hash())
                        && received.offset() % CHUNK_BYTES == 0
                        && chunk < chunks.length
                        && isMissing(chunk);
        return inPlace
                && received.data().length
                        == Math.min(CHUNK_BYTES, version.sizeBytes() - received.offset());
    }

    private byte[] assemble() {
        byte[] bytes = new byte[version.sizeBytes()];
        for (int chunk = 0; chunk < chunks.length; chunk++) {
            System.arraycopy(chunks[chunk], 0, bytes, chunk * CHUNK_BYTES, chunks[chunk].length);
        }
        return bytes;
    }

    /**
     * Discards all chunks, since together they do not have the version's hash, and asks another
     * source for them.
     */
    public void discardCorrupt(Duration now) {
        Arrays.fill(chunks, MISSING);
        missingChunks = chunks.length;
        timeouts = MAX_TIMEOUTS;
        nextRequest = now.plus(backoff);
    }

    /**
     * Returns the chunk of a version's bytes that was asked for; empty where they end before it.
     */
    public static Optional<RolloutMessage.Chunk> slice(
            RolloutMessage.ChunkRequest request, byte[] bytes) {
        int start = request.offset();
        if (start >= bytes.length) {
            return Optional.empty();
        }
        byte[] data = Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + CHUNK_BYTES));
        return Optional.of(new RolloutMessage.Chunk(request.hash(), start, data));
    }
}
