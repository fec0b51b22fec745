package ochretiller.idempotency;

import java.time.Duration;
import java.util.Optional;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * The properties of an attempt by which the cache recognizes repeats. Immutable.
 *
 * @param id unique id of the attempt within this process
 * @param operation the requested operation
 * @param token the idempotency key chosen by the client; empty if the operation is not keyed
 * @param object the object that an idempotent read concerns; empty if the client does not name it
 * @param arrivedAt arrival time at this machine, on the monotonic clock
 * @param sentUnixMillis client timestamp in Unix milliseconds, or {@link
 *     IdempotencyCache#NO_CLIENT_TIMESTAMP}
 */
public record Attempt(
        InvocationId id,
        Operation operation,
        Optional<String> token,
        Optional<String> object,
        Duration arrivedAt,
        long sentUnixMillis) {}
