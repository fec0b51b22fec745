package ochretiller.fleet.replication;

/**
 * A result whose chunks have all arrived and whose checksum matches.
 *
 * @param token the idempotency token
 * @param claimId the claim under which it was produced
 * @param result the result, one character per byte (ISO 8859-1)
 * @param source the server that the chunks were last requested from
 * @param epoch the epoch in which that request was made
 */
public record AssembledResult(
        String token, ClaimId claimId, String result, String source, long epoch) {}
