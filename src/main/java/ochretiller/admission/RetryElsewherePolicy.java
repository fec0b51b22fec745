package ochretiller.admission;

import java.time.Duration;
import java.util.SplittableRandom;
import ochretiller.time.SlidingWindow;

/**
 * Whether a rejected client should try another server at once. Servers know nothing of one another,
 * so the best guess at how full the others are is this server's own rejections and the share of
 * marked retries in what it reads. Guards against retry storms: when the whole fleet is full, a
 * retry at the next server is one more request that is rejected there.
 */
final class RetryElsewherePolicy {
    private final SplittableRandom random;
    private final SlidingWindow reads = MeasurementWindows.shortWindow();
    private final SlidingWindow retries = MeasurementWindows.shortWindow();
    private final SlidingWindow rejections = MeasurementWindows.shortWindow();

    RetryElsewherePolicy(SplittableRandom random) {
        this.random = random;
    }

    /** An invocation was read. */
    void onRead(Duration now, boolean isRetry) {
        reads.add(now, 1, 1);
        if (isRetry) {
            retries.add(now, 1, 1);
        }
    }

    /** An invocation was rejected. */
    void onRejected(Duration now) {
        rejections.add(now, 1, 1);
    }

    /**
     * Draws whether the next server is taken to be full too. A marked retry has found one full
     * server already, so the guess is made twice for it.
     */
    boolean drawFleetIsFull(Duration now, boolean isRetry) {
        double read = Math.max(1, reads.sum(now));
        double accepted = 1 - rejections.sum(now) / read;
        double firstAttempts = 1 - retries.sum(now) / read;
        double hasRoom = accepted * firstAttempts;
        return random.nextDouble() > (isRetry ? hasRoom * hasRoom : hasRoom);
    }
}
