package ochretiller.execution;

import java.time.Duration;

/**
 * A run that is to be executed.
 *
 * @param requestId identifies it on every wire below this server
 * @param operationName name of its operation
 * @param body what its client sent
 * @param isRetryable whether it may be executed again if it is unknown whether it was executed
 * @param idempotencyKey the key of a keyed invocation, else null
 * @param deadline when its client waits no longer, in event loop time
 */
public record RunRequest(
        String requestId,
        String operationName,
        byte[] body,
        boolean isRetryable,
        String idempotencyKey,
        Duration deadline) {}
