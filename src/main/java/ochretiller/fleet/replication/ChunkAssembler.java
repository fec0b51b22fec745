package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Downloads results that do not fit into one datagram, with several chunk requests of each result
 * in flight. Lost chunks are requested again; a complete result is verified against the checksum of
 * its outcome. Bounded in memory. Not thread-safe; callers pass the time.
 */
public final class ChunkAssembler {
    /**
     * Length of a chunk in characters, one per byte of the result. Fits into a datagram with its
     * envelope even if every character takes two bytes.
     */
    public static final int CHUNK_BYTES = 3 * 1024;

    /**
     * Consecutive ticks with repeated requests and no reply after which a download is abandoned; a
     * new {@link #request} restarts it.
     */
    private static final int MAX_RETRIES = 12;

    /** Maximum total size of the results being downloaded. */
    private static final int MAX_BYTES_IN_PROGRESS = 4 << 20;

    private final Map<ResultKey, ResultDownload> downloads = new LinkedHashMap<>();
    private long bytesInProgress;

    private record ResultKey(String token, ClaimId claimId) {}

    /**
     * Starts the download of a result, or moves a running one to another source. Does nothing if
     * the size is invalid or too many bytes are in progress; the caller may try again.
     *
     * @param source the server to request missing chunks from
     * @param epoch the epoch that {@link AssembledResult#epoch} reports
     */
    void request(String token, ClaimId claimId, ClaimOutcome outcome, String source, long epoch) {
        int size = outcome.resultSize();
        if (size > ClaimOutcome.MAX_RESULT_BYTES || size <= 0) {
            return;
        }
        ResultKey key = new ResultKey(token, claimId);
        ResultDownload existing = downloads.get(key);
        if (existing != null) {
            existing.switchSource(source, epoch);
        } else if (bytesInProgress + size <= MAX_BYTES_IN_PROGRESS) {
            bytesInProgress += size;
            downloads.put(key, new ResultDownload(outcome, source, epoch));
        }
    }

    private void remove(ResultKey key) {
        ResultDownload removed = downloads.remove(key);
        if (removed != null) {
            bytesInProgress -= removed.outcome().resultSize();
        }
    }

    /** Returns the chunk requests that are due. */
    List<OutboundMessage> tick(Duration now) {
        List<OutboundMessage> requests = new ArrayList<>();
        List<ResultKey> abandoned = new ArrayList<>();
        downloads.forEach(
                (key, download) -> {
                    for (int offset : download.dueOffsets(now)) {
                        requests.add(
                                new OutboundMessage(
                                        download.source(),
                                        new ReplicationMessage.ChunkRequest(
                                                key.token, key.claimId, offset)));
                    }
                    if (download.retries() >= MAX_RETRIES) {
                        abandoned.add(key);
                    }
                });
        abandoned.forEach(this::remove);
        return requests;
    }

    /**
     * Accepts a chunk, and returns the result if that completes it. Unexpected chunks are ignored.
     */
    Optional<AssembledResult> accept(ReplicationMessage.Chunk chunk) {
        ResultKey key = new ResultKey(chunk.token(), chunk.claimId());
        ResultDownload download = downloads.get(key);
        if (download == null || !download.accept(chunk) || !download.isComplete()) {
            return Optional.empty();
        }
        remove(key);
        String result = download.result();
        // The source sent bytes that do not match its outcome. A caller that still needs the result
        // requests it again.
        if (ClaimOutcome.checksum(result) != download.outcome().checksum()) {
            return Optional.empty();
        }
        return Optional.of(
                new AssembledResult(
                        key.token, key.claimId, result, download.source(), download.epoch()));
    }

    /** Returns the requested chunk of a result; empty if its offset is outside the result. */
    public static Optional<ReplicationMessage.Chunk> slice(
            ReplicationMessage.ChunkRequest request, String result) {
        int start = request.offset();
        if (start < 0 || start >= result.length()) {
            return Optional.empty();
        }
        String data = result.substring(start, Math.min(result.length(), start + CHUNK_BYTES));
        return Optional.of(
                new ReplicationMessage.Chunk(request.token(), request.claimId(), start, data));
    }

    /**
     * Returns the state that determines future behaviour, as text, for state-space exploration:
     * instances with equal texts behave alike.
     */
    String describeState() {
        StringBuilder text = new StringBuilder();
        downloads.forEach(
                (key, download) ->
                        text.append('w')
                                .append(key)
                                .append(download.missingChunks())
                                .append(download.source()));
        return text.toString();
    }
}
