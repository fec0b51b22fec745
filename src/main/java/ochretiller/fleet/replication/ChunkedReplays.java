package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Downloads chunked results of claims that other servers have completed, so that repeated
 * invocations can be answered with them. Not thread-safe; callers pass the time.
 */
final class ChunkedReplays {
    private final CoordinatorState state;
    private final ChunkAssembler chunks = new ChunkAssembler();

    ChunkedReplays(CoordinatorState state) {
        this.state = state;
    }

    /**
     * Requests the result of a completed claim from a replica that has it; returns false if none
     * has.
     */
    boolean requestResult(ClaimAttempt attempt, Duration now) {
        for (Map.Entry<String, ReplicationMessage.ClaimReply> entry :
                attempt.repliesByReplica().entrySet()) {
            ReplicationMessage.ClaimReply reply = entry.getValue();
            if (!offersResult(reply)) {
                continue;
            }
            ClaimId completedClaim = reply.otherClaim().orElseThrow();
            ClaimOutcome outcome = reply.outcome().orElseThrow();
            attempt.awaitResultOf(completedClaim);
            chunks.request(attempt.token(), completedClaim, outcome, entry.getKey(), state.epoch());
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

    /** Accepts a chunk, and returns the result if that completes it. */
    Optional<AssembledResult> accept(ReplicationMessage.Chunk chunk) {
        return chunks.accept(chunk);
    }

    /** Sends the chunk requests that are due. */
    void tick(Duration now) {
        state.outbox().sendAll(chunks.tick(now));
    }
}
