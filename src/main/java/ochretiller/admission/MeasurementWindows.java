package ochretiller.admission;

import java.time.Duration;
import ochretiller.time.SlidingWindow;

/** The sliding windows over which the admission decisions measure. */
final class MeasurementWindows {
    /** Length of a bucket, the same as the period that the host's gauges average over. */
    static final Duration BUCKET = Duration.ofMillis(500);

    /** Buckets of a long window: ten seconds hold enough runs for a stable mean. */
    static final int LONG_WINDOW_BUCKETS = 20;

    /** Buckets of a short window: three seconds react to a retry storm and still hold a dozen. */
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
