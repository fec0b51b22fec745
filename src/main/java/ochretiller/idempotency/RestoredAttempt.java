package ochretiller.idempotency;

import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * A keyed attempt of a previous process. Immutable, as long as nobody writes to its array.
 *
 * @param id an id of this process that no other attempt has
 * @param operation what it asked for
 * @param token the idempotency key that its client chose
 * @param bodyDigest {@link IdempotencyCache#bodyDigest} of its body
 * @param isCompleted whether nothing more will be heard of it
 */
public record RestoredAttempt(
        InvocationId id,
        Operation operation,
        String token,
        byte[] bodyDigest,
        boolean isCompleted) {}
