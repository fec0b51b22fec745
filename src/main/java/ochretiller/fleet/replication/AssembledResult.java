package ochretiller.fleet.replication;

/**
 * A result whose chunks have all arrived and whose checksum is right.
 *
 * @param token the idempotency token
 * @param claimId the claim under which it was produced
 * @param result the result, one character a byte (ISO 8859-1)
 * @param source the server that was asked for it last
 * @param epoch the epoch in which it was asked for
 */
public record AssembledResult(
        String token, ClaimId claimId, String result, String source, long epoch) {}
