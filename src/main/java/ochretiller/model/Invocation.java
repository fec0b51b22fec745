package ochretiller.model;

import java.time.Duration;

/**
 * One try as it was read. Times are spans since this server's start.
 *
 * @param id its number
 * @param forerunner the kept try that it repeats, or null
 * @param operation what it asks for
 * @param kb memory that it takes while held, in kilobytes
 * @param arrived when it reached the machine
 * @param due when its final answer is due
 * @param hint expected work, or null where none is told
 * @param caller who sent it
 * @param tenant who it is billed to, or null
 * @param resent marked as a further try
 */
public record Invocation(
        InvId id,
        InvId forerunner,
        Operation operation,
        double kb,
        Duration arrived,
        Duration due,
        Duration hint,
        CallerId caller,
        TenantId tenant,
        boolean resent) {}
