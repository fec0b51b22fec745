package ochretiller.model;

import java.time.Duration;

/**
 * One try as it was read. Times are spans since this server's start.
 *
 * @param id its number
 * @param originalAttempt the kept try that it repeats, or null
 * @param operation what it asks for
 * @param memoryKb memory that it takes while held, in kilobytes
 * @param arrivedAt when it reached the machine
 * @param deadline when its final answer is due
 * @param expectedWork expected work, or null where none is told
 * @param client who sent it
 * @param tenant who it is billed to, or null
 * @param isRetry marked as a further try
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
