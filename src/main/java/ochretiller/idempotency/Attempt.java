package ochretiller.idempotency;

import java.time.Duration;
import java.util.Optional;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * What the cache needs to know of an attempt to tell whether it repeats another one. Immutable.
 *
 * @param id names the attempt within this process
 * @param operation what it asks for
 * @param token the idempotency key that its client chose, where the operation has one
 * @param object what an idempotent read is about, where the client says so
 * @param arrivedAt when it reached the machine, on the monotonic clock
 * @param sentUnixMillis when its client dated it, in Unix milliseconds, or {@link
 *     IdempotencyCache#NO_CLIENT_TIMESTAMP}
 */
public record Attempt(
        InvocationId id,
        Operation operation,
        Optional<String> token,
        Optional<String> object,
        Duration arrivedAt,
        long sentUnixMillis) {}
