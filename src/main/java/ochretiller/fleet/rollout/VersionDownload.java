package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.PublishedVersion;

/**
 * Downloads the bytes of a version in chunks. Requests several chunks at once from one source,
 * retries with exponential backoff and jitter, and switches to another source if the first one is
 * unresponsive. Chunks are accepted from any sender. Not thread-safe; time and random numbers are
 * passed in.
 */
public final class VersionDownload {
    /** Size of a chunk in bytes; it fits into a datagram together with the envelope. */
    public static final int CHUNK_BYTES = 4 * 1024;

    /** Maximum number of chunks that are requested per tick. */
    private static final int MAX_REQUESTS_PER_TICK = 4;

    /** Number of top sources to choose from at random, so that servers spread their requests. */
    private static final int SOURCE_CHOICES = 4;

    /** Consecutive timeouts after which another source is chosen. */
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
     * Creates a download that has nothing to do until {@link #start} is called.
     *
     * @param random source of random numbers to choose sources and to jitter retries
     */
    public VersionDownload(RandomGenerator random) {
        this.random = random;
    }

    /** Starts to download a version and discards any other one; no effect if already started. */
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
     * @param sources live servers that may have the version, in order of preference
     */
    public List<OutboundChunkRequest> tick(List<String> sources, Duration now) {
        if (missingChunks == 0 || now.compareTo(nextRequest) < 0 || sources.isEmpty()) {
            return List.of();
        }
        if (source.isEmpty() || !sources.contains(source.get()) || timeouts >= MAX_TIMEOUTS) {
            source = Optional.of(chooseSource(sources));
            timeouts = 0;
        }
        timeouts++;
        Duration jitter = Duration.ofNanos((long) (backoff.toNanos() * random.nextDouble()));
        nextRequest = now.plus(backoff.dividedBy(2)).plus(jitter);
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
        return requestsTo(source.get());
    }

    private String chooseSource(List<String> sources) {
        List<String> others = new ArrayList<>(sources);
        if (others.size() > 1) {
            source.ifPresent(others::remove);
        }
        return others.get(random.nextInt(Math.min(others.size(), SOURCE_CHOICES)));
    }

    private List<OutboundChunkRequest> requestsTo(String recipient) {
        List<OutboundChunkRequest> requests = new ArrayList<>();
        for (int chunk = 0;
                chunk < chunks.length && requests.size() < MAX_REQUESTS_PER_TICK;
                chunk++) {
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
     * Accepts a chunk, and returns all bytes of the version if it was the last missing one. The
     * caller must verify their hash. Chunks that are not missing are ignored.
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
        boolean isExpectedPosition =
                received.hash().equals(version.hash())
                        && received.offset() % CHUNK_BYTES == 0
                        && chunk < chunks.length
                        && isMissing(chunk);
        return isExpectedPosition
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
     * Discards all chunks, whose bytes do not match the version's hash, and restarts the download
     * from another source.
     */
    public void discardCorrupt(Duration now) {
        Arrays.fill(chunks, MISSING);
        missingChunks = chunks.length;
        timeouts = MAX_TIMEOUTS;
        nextRequest = now.plus(backoff);
    }

    /** Returns the requested chunk of a version's bytes; empty if the offset is past their end. */
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
