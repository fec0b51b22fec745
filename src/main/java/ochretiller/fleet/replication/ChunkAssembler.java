package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Downloads results that are too long for one datagram, chunk by chunk, a few of each result at
 * once. Lost chunks are requested again; a complete result is checked against the checksum of its
 * outcome. Bounded in memory; not thread-safe; time is handed in.
 */
public final class ChunkAssembler {
    /**
     * Characters of a chunk: what fits into a datagram beside its envelope, where a byte may take
     * two.
     */
    public static final int CHUNK_BYTES = 3 * 1024;

    /**
     * Consecutive ticks with repeated requests and no answer after which a download is abandoned
     * until asked for anew.
     */
    private static final int MAX_RETRIES = 12;

    /** Bytes of all results that are being downloaded at most. */
    private static final int MAX_BYTES_IN_PROGRESS = 4 << 20;

    private final Map<ResultKey, ResultDownload> downloads = new LinkedHashMap<>();
    private long bytesInProgress;

    private record ResultKey(String token, ClaimId claimId) {}

    /**
     * Starts the download of a result, or moves it to another source. Without room nothing happens;
     * it may be asked for again.
     *
     * @param source the server to ask from now on
     * @param epoch the epoch that {@link AssembledResult#epoch} reports
     */
    void request(String token, ClaimId claimId, ClaimOutcome outcome, String source, long epoch) {
        int size = outcome.resultSize();
        if (size > ClaimOutcome.MAX_RESULT_BYTES || size <= 0) {
            return;
        }
        ResultKey key = new ResultKey(token, claimId);
        ResultDownload known = downloads.get(key);
        if (known != null) {
            known.askFrom(source, epoch);
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
     * Accepts a chunk, and returns the result once its last chunk has arrived; chunks nobody waits
     * for are ignored.
     */
    Optional<AssembledResult> accept(ReplicationMessage.Chunk chunk) {
        ResultKey key = new ResultKey(chunk.token(), chunk.claimId());
        ResultDownload download = downloads.get(key);
        if (download == null || !download.accept(chunk) || !download.isComplete()) {
            return Optional.empty();
        }
        remove(key);
        String result = download.result();
        // A source may have sent other bytes than its outcome promised: whoever needs the result
        // asks for it again.
        if (ClaimOutcome.checksum(result) != download.outcome().checksum()) {
            return Optional.empty();
        }
        return Optional.of(
                new AssembledResult(
                        key.token, key.claimId, result, download.source(), download.epoch()));
    }

    /** Returns the chunk of a result that was asked for; empty where the result ends before it. */
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
     * Returns what decides the next steps, as text: equal texts behave alike. For state-space
     * exploration.
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
