package ochretiller.idempotency.durable;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * When a failed disk is probed next: exponential backoff with jitter, one probe at a time. Owned by
 * the thread that owns the {@link DurabilityPolicy}; time is handed in, on the monotonic clock.
 */
final class ProbeBackoff {
    /**
     * Width of the jitter as a share of the pause, so that many servers on one disk do not probe
     * together.
     */
    private static final double JITTER = 0.5;

    private final Duration initialPause;
    private final Duration maxPause;
    private final SplittableRandom random;
    private Duration pause;
    private Duration nextProbeAt = Duration.ZERO;
    private boolean probing;

    ProbeBackoff(Duration initialPause, Duration maxPause, SplittableRandom random) {
        this.initialPause = initialPause;
        this.maxPause = maxPause;
        this.random = random;
        this.pause = initialPause;
    }

    /** The disk works: the next failure starts from the shortest pause again. */
    void reset() {
        probing = false;
        pause = initialPause;
    }

    /** The disk has failed; the first probe comes after a pause. */
    void scheduleFirst(Duration now) {
        nextProbeAt = now.plus(withJitter(pause));
    }

    /** Whether a probe is due now; if so it counts as started. */
    boolean startIfDue(Duration now) {
        if (probing || now.compareTo(nextProbeAt) < 0) {
            return false;
        }
        probing = true;
        return true;
    }

    /** The probe has failed; the next one waits for twice as long. */
    void probeFailed(Duration now) {
        probing = false;
        pause = min(pause.multipliedBy(2), maxPause);
        nextProbeAt = now.plus(withJitter(pause));
    }

    private Duration withJitter(Duration span) {
        return Duration.ofNanos(
                (long) (span.toNanos() * (1 + JITTER * (random.nextDouble() - 0.5))));
    }
}
