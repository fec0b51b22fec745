package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Determines when a rejected client should retry (Retry-After of RFC 9110, section 10.2.3): after
 * about half the expected wait, with jitter so that clients do not all retry at the same time.
 */
final class RetryAfterPolicy {
    /** Lower bound of the delay, as a share of the expected wait. */
    private static final double MIN_SHARE_OF_WAIT = 0.25;

    /** Upper bound of the delay, as a share of the expected wait. */
    private static final double MAX_SHARE_OF_WAIT = 0.75;

    private final Duration maxDelay;
    private final SplittableRandom random;

    /**
     * Creates a policy.
     *
     * @param maxDelay the longest delay that clients respect; zero if they are sent none
     * @param random source of the jitter
     */
    RetryAfterPolicy(Duration maxDelay, SplittableRandom random) {
        this.maxDelay = maxDelay;
        this.random = random;
    }

    /** Returns the longest delay that clients respect, for those that should use other servers. */
    Duration maxDelay() {
        return maxDelay;
    }

    /** Returns a random delay for a client that would wait {@code expectedWait} here. */
    Duration randomDelay(Duration expectedWait) {
        double seconds = inSeconds(max(AdmissionTiming.TICK_INTERVAL, expectedWait));
        double waitShare = random.nextDouble(MIN_SHARE_OF_WAIT, MAX_SHARE_OF_WAIT);
        return min(maxDelay, ofSeconds(seconds * waitShare));
    }
}
