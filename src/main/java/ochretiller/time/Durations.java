package ochretiller.time;

import java.time.Duration;

/** Small sums on spans of time. */
public final class Durations {
    private Durations() {}

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    public static double inSeconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    /** That many seconds, eleven days at most. */
    public static Duration ofSeconds(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, 1e6) * 1e9));
    }

    public static boolean isAfter(Duration a, Duration b) {
        return a.compareTo(b) > 0;
    }

    /** Time until {@code at}, or none once it has come. */
    public static Duration timeUntil(Duration at, Duration now) {
        return max(at.minus(now), Duration.ZERO);
    }
}
