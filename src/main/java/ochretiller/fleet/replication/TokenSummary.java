package ochretiller.fleet.replication;

/**
 * One token as the administrator's listing shows it.
 *
 * @param token the idempotency token
 * @param digest digest of the token's entry; equal on replicas with equal entries
 * @param status one word: {@code free}, {@code claimed}, {@code succeeded}, {@code failed} or
 *     {@code conflict}
 */
public record TokenSummary(String token, long digest, String status) {}
