package ochretiller.time;

import java.time.Duration;

/** Arithmetic on durations, and on points in time given as durations since the server's start. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Longest duration created from a number of seconds: eleven days. */
    private static final double MAX_SECONDS = 1e6;

    private Durations() {}

    /** Returns the shorter of two durations. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** Returns the longer of two durations. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Returns a duration in seconds, with the fraction that {@link Duration#toSeconds} drops. */
    public static double inSeconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    /** Converts seconds to a duration, truncated to whole nanoseconds, at most eleven days. */
    public static Duration ofSeconds(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, MAX_SECONDS) * NANOS_PER_SECOND));
    }

    /** Returns whether the first point in time comes after the second. */
    public static boolean isAfter(Duration a, Duration b) {
        return a.compareTo(b) > 0;
    }

    /** Returns the time from now until a point in time, or zero if it has passed. */
    public static Duration timeUntil(Duration point, Duration now) {
        return max(point.minus(now), Duration.ZERO);
    }
}
