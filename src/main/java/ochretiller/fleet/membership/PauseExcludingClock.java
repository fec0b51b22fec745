package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * A clock that excludes pauses of this process (SIGSTOP, long garbage collections, CPU starvation).
 * A gap between two readings longer than {@link #MAX_GAP_TICKS} ticks is taken for a pause and
 * counts as that many ticks only: a paused process receives nothing, so its timeouts must not
 * expire.
 */
final class PauseExcludingClock {
    /** Longest gap between two readings that counts fully, in ticks. */
    static final int MAX_GAP_TICKS = 2;

    private final Duration maxGap;
    private Duration lastReading;
    private Duration now = Duration.ZERO;

    /**
     * Creates a clock that starts at zero.
     *
     * @param tick expected time between two readings
     * @param reading the caller's monotonic time
     */
    PauseExcludingClock(Duration tick, Duration reading) {
        this.maxGap = tick.multipliedBy(MAX_GAP_TICKS);
        this.lastReading = reading;
    }

    /** Advances to a reading of the caller's clock; earlier readings are ignored. */
    void advance(Duration reading) {
        Duration gap = reading.minus(lastReading);
        if (gap.isNegative()) {
            return;
        }
        lastReading = reading;
        now = now.plus(gap.compareTo(maxGap) > 0 ? maxGap : gap);
    }

    Duration now() {
        return now;
    }

    boolean hasElapsed(Duration since, Duration span) {
        return now.minus(since).compareTo(span) >= 0;
    }

    boolean hasReached(Duration instant) {
        return now.compareTo(instant) >= 0;
    }

    /** Nanoseconds since an instant of this clock. */
    long nanosSince(Duration instant) {
        return now.minus(instant).toNanos();
    }

    /** Nanoseconds until an instant of this clock; 0 if it has passed. */
    long nanosUntil(Duration instant) {
        return Math.max(0, instant.minus(now).toNanos());
    }
}
