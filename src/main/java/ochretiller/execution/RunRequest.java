package ochretiller.execution;

import java.time.Duration;

/**
 * A request to execute a run.
 *
 * @param requestId identifier in all protocols to the backends of this server
 * @param operationName name of its operation
 * @param body request body as the client sent it
 * @param isRetryable whether it may be sent again when it is unknown whether it was executed
 * @param idempotencyKey key of a keyed invocation, or null
 * @param deadline when its client stops waiting, in event loop time
 */
public record RunRequest(
        String requestId,
        String operationName,
        byte[] body,
        boolean isRetryable,
        String idempotencyKey,
        Duration deadline) {}
