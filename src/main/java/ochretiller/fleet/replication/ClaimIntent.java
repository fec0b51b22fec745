package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * A keyed invocation that a server wants to run.
 *
 * @param token the idempotency token
 * @param fingerprint operation and hash of the request
 * @param transitional whether this server is about to stop claiming the operation, so that its
 *     claim does not make other servers continue to claim
 * @param startDeadline monotonic time by which the run must have started
 * @param windowEnd monotonic time at which the token's idempotency window ends
 */
public record ClaimIntent(
        String token,
        String fingerprint,
        boolean transitional,
        Duration startDeadline,
        Duration windowEnd) {}
