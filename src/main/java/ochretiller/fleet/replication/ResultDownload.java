package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The download of one result in chunks. Tracks which chunks have arrived, and when the others were
 * last requested.
 */
final class ResultDownload {
    /** Maximum number of outstanding chunk requests of one result. */
    private static final int MAX_OUTSTANDING = 4;

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(120);

    /** Request time of a chunk that has not been requested from the current source. */
    private static final Duration NOT_REQUESTED = Duration.ofSeconds(Long.MIN_VALUE);

    private static final String MISSING = "";

    private final ClaimOutcome outcome;
    private final String[] chunks;
    private final Duration[] requestedAt;
    private String source;
    private long epoch;
    private int missingChunks;
    private int retries;

    ResultDownload(ClaimOutcome outcome, String source, long epoch) {
        this.outcome = outcome;
        this.source = source;
        this.epoch = epoch;
        missingChunks =
                (outcome.resultSize() + ChunkAssembler.CHUNK_BYTES - 1)
                        / ChunkAssembler.CHUNK_BYTES;
        chunks = new String[missingChunks];
        Arrays.fill(chunks, MISSING);
        requestedAt = new Duration[missingChunks];
        Arrays.fill(requestedAt, NOT_REQUESTED);
    }

    ClaimOutcome outcome() {
        return outcome;
    }

    String source() {
        return source;
    }

    long epoch() {
        return epoch;
    }

    int missingChunks() {
        return missingChunks;
    }

    boolean isComplete() {
        return missingChunks == 0;
    }

    /** Returns the number of ticks with repeated requests since the last chunk arrived. */
    int retries() {
        return retries;
    }

    /** Requests missing chunks from another source; chunks that have arrived are kept. */
    void switchSource(String newSource, long newEpoch) {
        if (!newSource.equals(source)) {
            Arrays.fill(requestedAt, NOT_REQUESTED);
        }
        source = newSource;
        epoch = newEpoch;
    }

    /** Returns the offsets of chunks to request now, and records them as requested. */
    List<Integer> dueOffsets(Duration now) {
        List<Integer> offsets = new ArrayList<>();
        int outstanding = 0;
        boolean repeated = false;
        for (int chunk = 0; chunk < chunks.length && outstanding < MAX_OUTSTANDING; chunk++) {
            if (!chunks[chunk].equals(MISSING)) {
                continue;
            }
            outstanding++;
            boolean requested = !requestedAt[chunk].equals(NOT_REQUESTED);
            if (requested && now.minus(requestedAt[chunk]).compareTo(RETRY_INTERVAL) < 0) {
                continue;
            }
            repeated |= requested;
            requestedAt[chunk] = now;
            offsets.add(chunk * ChunkAssembler.CHUNK_BYTES);
        }
        if (repeated) {
            retries++;
        }
        return offsets;
    }

    /** Accepts a missing chunk with the expected offset and length; returns false for any other. */
    boolean accept(ReplicationMessage.Chunk chunk) {
        int offset = chunk.offset();
        int index = offset / ChunkAssembler.CHUNK_BYTES;
        boolean invalidOffset =
                offset % ChunkAssembler.CHUNK_BYTES != 0 || index < 0 || index >= chunks.length;
        if (invalidOffset || !chunks[index].equals(MISSING)) {
            return false;
        }
        if (chunk.data().length()
                != Math.min(ChunkAssembler.CHUNK_BYTES, outcome.resultSize() - offset)) {
            return false;
        }
        chunks[index] = chunk.data();
        missingChunks--;
        retries = 0;
        return true;
    }

    /** Returns the result; only valid if it is complete. */
    String result() {
        return String.join("", chunks);
    }
}
