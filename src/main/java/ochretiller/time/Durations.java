package ochretiller.time;

import java.time.Duration;

/** Arithmetic on durations, and on points in time that are counted from the start of a server. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Longest duration that is made from a number of seconds: eleven days. */
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

    /** Returns a duration in seconds with their fractions, unlike {@link Duration#toSeconds}. */
    public static double inSeconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    /** Returns the duration of so many seconds, cut to whole nanoseconds, eleven days at most. */
    public static Duration ofSeconds(double seconds) {
        return Duration.ofNanos((long) (Math.min(seconds, MAX_SECONDS) * NANOS_PER_SECOND));
    }

    /** Returns whether the first point in time comes after the second. */
    public static boolean isAfter(Duration a, Duration b) {
        return a.compareTo(b) > 0;
    }

    /** Returns the time from now until a point in time, zero once that has come. */
    public static Duration timeUntil(Duration point, Duration now) {
        return max(point.minus(now), Duration.ZERO);
    }
}
