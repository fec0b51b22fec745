package ochretiller;

import java.time.Duration;

/** Small sums on spans of time. */
final class Spans {
    private Spans() {
    }

    static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    /** That many seconds, eleven days at most. */
    static Duration span(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, 1e6) * 1e9));
    }

    static boolean after(Duration a, Duration b) {
        return a.compareTo(b) > 0;
    }

    /** Time until {@code at}, or none once it has come. */
    static Duration until(Duration at, Duration now) {
        return max(at.minus(now), Duration.ZERO);
    }
}
