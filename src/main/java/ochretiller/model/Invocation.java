package ochretiller.model;

import java.time.Duration;

/**
 * One attempt of a client's request, as it was received. Times are durations since this server's
 * start.
 *
 * @param id identifies it on this server
 * @param originalAttempt the recorded attempt that it repeats, or null if it repeats none
 * @param operation what it asks for
 * @param memoryKb memory that it takes while it is queued, in kilobytes
 * @param arrivedAt when it reached the machine
 * @param deadline when its final answer has to leave
 * @param expectedWork expected time on a core, or null if the client does not tell
 * @param client who sent it
 * @param tenant who it is billed to, or null if the service has no tenants
 * @param isRetry whether the client says that it has sent the request before
 */
public record Invocation(
        InvocationId id,
        InvocationId originalAttempt,
        Operation operation,
        double memoryKb,
        Duration arrivedAt,
        Duration deadline,
        Duration expectedWork,
        ClientId client,
        TenantId tenant,
        boolean isRetry) {}
