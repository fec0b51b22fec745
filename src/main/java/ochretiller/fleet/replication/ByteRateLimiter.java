package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * So many a second, saved up for a moment at most: what is spent beyond it is paid back before the
 * next.
 */
final class ByteRateLimiter {
    private final double perSecond;
    private final double most;
    private double left;
    private Duration at;

    /**
     * @param perSecond what comes in each second
     * @param most what is saved up at most; it begins with that
     */
    ByteRateLimiter(double perSecond, double most, Duration now) {
        this.perSecond = perSecond;
        this.most = most;
        this.left = most;
        this.at = now;
    }

    private void fill(Duration now) {
        double seconds = Math.max(0, now.minus(at).toNanos() / 1e9);
        at = now;
        left = Math.min(most, left + seconds * perSecond);
    }

    /** Whether anything is left; a size is known only once it is spent. */
    boolean hasTokens(Duration now) {
        fill(now);
        return left > 0;
    }

    void spend(double amount) {
        left -= amount;
    }

    /** Takes this much if it is there. */
    boolean tryTake(double amount, Duration now) {
        fill(now);
        if (left < amount) {
            return false;
        }
        left -= amount;
        return true;
    }

    /** What comes by itself without regard to time, as a share of something else. */
    void deposit(double amount) {
        left = Math.min(most, left + amount);
    }
}
