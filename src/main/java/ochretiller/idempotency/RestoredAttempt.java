package ochretiller.idempotency;

import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * A keyed attempt of a previous process. Immutable if its array is not modified.
 *
 * @param id unique id of the attempt within this process
 * @param operation the requested operation
 * @param token the idempotency key chosen by the client
 * @param bodyDigest {@link IdempotencyCache#bodyDigest} of its body
 * @param isCompleted whether the attempt has ended, so that no further outcome will arrive
 */
public record RestoredAttempt(
        InvocationId id,
        Operation operation,
        String token,
        byte[] bodyDigest,
        boolean isCompleted) {}
