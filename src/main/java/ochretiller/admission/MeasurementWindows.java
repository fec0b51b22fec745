package ochretiller.admission;

import java.time.Duration;
import ochretiller.time.SlidingWindow;

/** The sliding windows over which the admission decisions measure. */
final class MeasurementWindows {
    /** Length of a bucket, equal to the period over which the host's gauges are averaged. */
    static final Duration BUCKET = Duration.ofMillis(500);

    /** Buckets of a long window: ten seconds contain enough runs for a stable mean. */
    static final int LONG_WINDOW_BUCKETS = 20;

    /** Buckets of a short window: three seconds track a retry storm and hold a dozen samples. */
    private static final int SHORT_WINDOW_BUCKETS = 6;

    private MeasurementWindows() {}

    /** Returns an empty window over the last ten seconds. */
    static SlidingWindow longWindow() {
        return new SlidingWindow(BUCKET, LONG_WINDOW_BUCKETS);
    }

    /** Returns an empty window over the last three seconds. */
    static SlidingWindow shortWindow() {
        return new SlidingWindow(BUCKET, SHORT_WINDOW_BUCKETS);
    }
}
