package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * Token bucket for bytes whose number is known only after they were spent: an overdraft is paid
 * back before the next transfer. Not thread-safe; time is handed in.
 */
final class ByteRateLimiter {
    private final double bytesPerSecond;
    private final double capacity;
    private double available;
    private Duration lastRefill;

    /**
     * @param bytesPerSecond refill rate
     * @param capacity bytes that are saved up at most; the bucket starts full
     */
    ByteRateLimiter(double bytesPerSecond, double capacity, Duration now) {
        this.bytesPerSecond = bytesPerSecond;
        this.capacity = capacity;
        this.available = capacity;
        this.lastRefill = now;
    }

    /** Returns whether anything may be transferred now. */
    boolean hasTokens(Duration now) {
        double seconds = Math.max(0, now.minus(lastRefill).toNanos() / 1e9);
        lastRefill = now;
        available = Math.min(capacity, available + seconds * bytesPerSecond);
        return available > 0;
    }

    /** Takes bytes that were transferred, into overdraft if need be. */
    void spend(double bytes) {
        available -= bytes;
    }
}
