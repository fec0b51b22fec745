package ochretiller.execution;

import java.time.Duration;

/**
 * One run that is to be carried out.
 *
 * @param requestId its name on all wires below
 * @param isRetryable it may run a second time where it is not known whether it did
 * @param idempotencyKey the token of a tokened one, else null
 * @param deadline when its caller no longer waits, on the schedule
 */
public record RunRequest(
        String requestId,
        String operationName,
        byte[] body,
        boolean isRetryable,
        String idempotencyKey,
        Duration deadline) {}
