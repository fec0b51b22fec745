package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Downloads chunked results of claims that other servers have completed, so that repeats can be
 * answered with them. Not thread-safe; time is handed in.
 */
final class ChunkedReplays {
    private final CoordinatorState state;
    private final ChunkAssembler chunks = new ChunkAssembler();

    ChunkedReplays(CoordinatorState state) {
        this.state = state;
    }

    /**
     * Requests the result of a completed claim from a replica that has it; returns whether there is
     * one.
     */
    boolean requestResult(ClaimAttempt attempt, Duration now) {
        for (Map.Entry<String, ReplicationMessage.ClaimReply> each :
                attempt.repliesByReplica().entrySet()) {
            ReplicationMessage.ClaimReply reply = each.getValue();
            if (!offersResult(reply)) {
                continue;
            }
            ClaimId completed = reply.otherClaim().orElseThrow();
            ClaimOutcome outcome = reply.outcome().orElseThrow();
            attempt.awaitResultOf(completed);
            chunks.request(attempt.token(), completed, outcome, each.getKey(), state.epoch());
            tick(now);
            return true;
        }
        return false;
    }

    private static boolean offersResult(ReplicationMessage.ClaimReply reply) {
        return reply.vote() == ReplicationMessage.ClaimVote.COMPLETED
                && reply.outcome().orElseThrow().resultPresent()
                && reply.otherClaim().isPresent();
    }

    /** Takes a chunk, and returns the result once its last chunk has arrived. */
    Optional<AssembledResult> accept(ReplicationMessage.Chunk chunk) {
        return chunks.accept(chunk);
    }

    /** Sends the chunk requests that are due. */
    void tick(Duration now) {
        state.outbox().sendAll(chunks.tick(now));
    }
}
