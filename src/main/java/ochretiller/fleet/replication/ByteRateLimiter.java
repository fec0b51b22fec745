package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Token bucket for transfers whose size is known only afterwards: no transfer starts while the
 * balance is negative. Not thread-safe; callers pass the time.
 */
final class ByteRateLimiter {
    private final double bytesPerSecond;
    private final double capacity;
    private double available;
    private Duration lastRefill;

    /**
     * @param bytesPerSecond refill rate
     * @param capacity maximum balance in bytes; the bucket starts full
     */
    ByteRateLimiter(double bytesPerSecond, double capacity, Duration now) {
        this.bytesPerSecond = bytesPerSecond;
        this.capacity = capacity;
        this.available = capacity;
        this.lastRefill = now;
    }

    /** Refills the bucket, and returns whether a transfer may start now. */
    boolean hasTokens(Duration now) {
        double seconds = Math.max(0, now.minus(lastRefill).toNanos() / 1e9);
        lastRefill = now;
        available = Math.min(capacity, available + seconds * bytesPerSecond);
        return available > 0;
    }

    /** Deducts transferred bytes; the balance may become negative. */
    void spend(double bytes) {
        available -= bytes;
    }
}
