package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Bounds on what a replica stores and transfers.
 *
 * @param maxEntries entries that are stored at most
 * @param maxBytes estimated bytes of all entries at most; the last eighth is kept free for outcomes
 *     of granted claims
 * @param bytesPerSecond rate of entry bytes sent to catching-up peers, and, separately, of those
 *     requested
 * @param maxWindow longest idempotency window; nothing forgotten for longer can matter
 */
public record ReplicaLimits(
        int maxEntries, long maxBytes, double bytesPerSecond, Duration maxWindow) {
    /** Part of the byte limit (one in this many) that no new claim may use. */
    private static final int RESERVED_PART = 8;

    private static final double DEFAULT_BYTES_PER_SECOND = 8 << 20;

    /** Limits without a bound on bytes, with the default transfer rate of 8 MiB/s. */
    public static ReplicaLimits ofEntries(int maxEntries, Duration maxWindow) {
        return new ReplicaLimits(maxEntries, Long.MAX_VALUE, DEFAULT_BYTES_PER_SECOND, maxWindow);
    }

    /** Bytes that entries may take before new claims are rejected. */
    long claimableBytes() {
        return maxBytes - maxBytes / RESERVED_PART;
    }
}
