package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Optional;

/**
 * A claimed run that has ended.
 *
 * @param claimId the claim under which it ran
 * @param outcome the outcome of the run
 * @param chunkedResult the result for replicas to request in chunks, if the outcome does not
 *     contain it
 * @param replyDeadline monotonic time by which the client has to be answered
 * @param windowEnd monotonic time at which the token's idempotency window ends
 */
public record CompletedClaim(
        ClaimId claimId,
        ClaimOutcome outcome,
        Optional<String> chunkedResult,
        Duration replyDeadline,
        Duration windowEnd) {
    CompletedClaim withoutChunkedResult() {
        return new CompletedClaim(claimId, outcome, Optional.empty(), replyDeadline, windowEnd);
    }
}
