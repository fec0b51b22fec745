package ochretiller.spans;

import java.time.Duration;

/** Small sums on spans of time. */
public final class Spans {
    private Spans() {}

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    public static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    /** That many seconds, eleven days at most. */
    public static Duration span(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, 1e6) * 1e9));
    }

    public static boolean after(Duration a, Duration b) {
        return a.compareTo(b) > 0;
    }

    /** Time until {@code at}, or none once it has come. */
    public static Duration until(Duration at, Duration now) {
        return max(at.minus(now), Duration.ZERO);
    }
}
