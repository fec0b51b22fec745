package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Bounds on what a replica stores and transfers.
 *
 * @param maxEntries maximum number of stored entries
 * @param maxBytes maximum estimated size of all entries; the last eighth is reserved for outcomes
 *     of granted claims
 * @param bytesPerSecond rate limit for entries sent to other replicas, and, separately, for entries
 *     received from them
 * @param maxWindow longest idempotency window; all entries that were lost longer ago have expired
 */
public record ReplicaLimits(
        int maxEntries, long maxBytes, double bytesPerSecond, Duration maxWindow) {
    /** Divisor of the byte limit; the quotient is reserved for outcomes of granted claims. */
    private static final int RESERVED_DIVISOR = 8;

    private static final double DEFAULT_BYTES_PER_SECOND = 8 << 20;

    /** Creates limits without a bound on bytes, with the default transfer rate of 8 MiB/s. */
    public static ReplicaLimits ofEntries(int maxEntries, Duration maxWindow) {
        return new ReplicaLimits(maxEntries, Long.MAX_VALUE, DEFAULT_BYTES_PER_SECOND, maxWindow);
    }

    /** Returns the estimated size of all entries, in bytes, at which new claims are rejected. */
    long claimableBytes() {
        return maxBytes - maxBytes / RESERVED_DIVISOR;
    }
}
