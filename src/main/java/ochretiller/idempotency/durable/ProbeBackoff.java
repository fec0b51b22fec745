package ochretiller.idempotency.durable;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Schedules probes of a failed disk with exponential backoff and jitter, one probe at a time.
 * Confined to the thread that owns the {@link DurabilityPolicy}; callers pass the time on the
 * monotonic clock.
 */
final class ProbeBackoff {
    /**
     * Width of the jitter as a fraction of the delay, so that servers that share a disk do not
     * probe it simultaneously.
     */
    private static final double JITTER_FRACTION = 0.5;

    private final Duration initialDelay;
    private final Duration maxDelay;
    private final SplittableRandom random;
    private Duration delay;
    private Duration nextProbeAt = Duration.ZERO;
    private boolean probeInProgress;

    ProbeBackoff(Duration initialDelay, Duration maxDelay, SplittableRandom random) {
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
        this.delay = initialDelay;
    }

    /** Resets the delay to its initial value after the disk has recovered. */
    void reset() {
        probeInProgress = false;
        delay = initialDelay;
    }

    /** Schedules the first probe after the disk has failed. */
    void scheduleFirst(Duration now) {
        nextProbeAt = now.plus(withJitter(delay));
    }

    /** Returns whether a probe is due, and if so marks it as started. */
    boolean startIfDue(Duration now) {
        if (probeInProgress || now.compareTo(nextProbeAt) < 0) {
            return false;
        }
        probeInProgress = true;
        return true;
    }

    /** Schedules the next probe after a failed one, with twice the delay up to the maximum. */
    void probeFailed(Duration now) {
        probeInProgress = false;
        delay = min(delay.multipliedBy(2), maxDelay);
        nextProbeAt = now.plus(withJitter(delay));
    }

    private Duration withJitter(Duration duration) {
        return Duration.ofNanos(
                (long) (duration.toNanos() * (1 + JITTER_FRACTION * (random.nextDouble() - 0.5))));
    }
}
