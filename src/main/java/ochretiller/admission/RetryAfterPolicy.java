package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * When a rejected client is told to come back (the Retry-After of RFC 9110, section 10.2.3): about
 * half the expected wait, with jitter so that not all return at once.
 */
final class RetryAfterPolicy {
    /** Bounds of the jitter, as parts of the expected wait. */
    private static final double MIN_PART_OF_WAIT = 0.25;

    private static final double MAX_PART_OF_WAIT = 0.75;

    private final Duration longest;
    private final SplittableRandom random;

    /**
     * Creates a policy.
     *
     * @param longest the longest delay that clients heed; zero where they are told none
     * @param random source of the jitter
     */
    RetryAfterPolicy(Duration longest, SplittableRandom random) {
        this.longest = longest;
        this.random = random;
    }

    /** Returns the longest delay that clients heed: for those that had better go elsewhere. */
    Duration longest() {
        return longest;
    }

    /** Draws the delay after which a client that would wait so long here should come back. */
    Duration draw(Duration expectedWait) {
        double seconds = inSeconds(max(AdmissionTiming.TICK_INTERVAL, expectedWait));
        double part = random.nextDouble(MIN_PART_OF_WAIT, MAX_PART_OF_WAIT);
        return min(longest, ofSeconds(seconds * part));
    }
}
