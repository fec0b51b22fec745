package ochretiller.admission;

import java.time.Duration;
import java.util.SplittableRandom;
import ochretiller.time.SlidingWindow;

/**
 * Decides whether a rejected client should try another server at once. Servers do not share their
 * load, so the load of the others is estimated from this server's own rejections and its share of
 * marked retries. Guards against retry storms: when the whole fleet is full, a retry at another
 * server only adds a request that is rejected there.
 */
final class RetryElsewherePolicy {
    private final SplittableRandom random;
    private final SlidingWindow reads = MeasurementWindows.shortWindow();
    private final SlidingWindow retries = MeasurementWindows.shortWindow();
    private final SlidingWindow rejections = MeasurementWindows.shortWindow();

    RetryElsewherePolicy(SplittableRandom random) {
        this.random = random;
    }

    /** Records an invocation that was read. */
    void onRead(Duration now, boolean isRetry) {
        reads.add(now, 1, 1);
        if (isRetry) {
            retries.add(now, 1, 1);
        }
    }

    /** Records an invocation that was rejected. */
    void onRejected(Duration now) {
        rejections.add(now, 1, 1);
    }

    /**
     * Decides at random, by the estimated load, whether to assume that the other servers are full.
     * A marked retry was already rejected by another server, so for it the estimate is squared.
     */
    boolean isFleetAssumedFull(Duration now, boolean isRetry) {
        double read = Math.max(1, reads.sum(now));
        double accepted = 1 - rejections.sum(now) / read;
        double firstAttempts = 1 - retries.sum(now) / read;
        double availability = accepted * firstAttempts;
        return random.nextDouble() > (isRetry ? availability * availability : availability);
    }
}
