package ochretiller.model;

import java.time.Duration;

/**
 * One attempt of a client's request, as it was received. Points in time are durations since the
 * start of this server.
 *
 * @param id identifier on this server
 * @param originalAttempt the recorded attempt that it repeats, or null if it repeats none
 * @param operation the requested operation
 * @param memoryKb memory that it uses while it is queued, in kilobytes
 * @param arrivedAt when it reached the machine
 * @param deadline when its final answer must be sent
 * @param expectedWork expected time on a core, or null if the client gives no hint
 * @param client the client that sent it
 * @param tenant the tenant that it is billed to, or null if the service has no tenants
 * @param isRetry whether the client marked it as a retry
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
