package ochretiller.fleet.service;

import java.time.Duration;
import java.util.Arrays;

/** Latencies of recently granted claims. Recorded on the event loop, read from any thread. */
final class ClaimLatency {
    /** Number of latencies in the window: about one second on a busy server. */
    private static final int WINDOW_SIZE = 1_024;

    private final long[] nanos = new long[WINDOW_SIZE];
    private long count;
    private volatile long[] sorted = {};

    void add(Duration latency) {
        nanos[(int) (count++ % WINDOW_SIZE)] = latency.toNanos();
    }

    /** Updates the percentiles with the latencies in the window. */
    void publish() {
        long[] all = Arrays.copyOf(nanos, (int) Math.min(count, WINDOW_SIZE));
        Arrays.sort(all);
        sorted = all;
    }

    /** Returns a percentile, given from 0 to 100, in seconds; zero if there are no latencies. */
    double percentileSeconds(double percentile) {
        long[] all = sorted;
        return all.length == 0
                ? 0
                : all[(int) Math.min(all.length - 1, all.length * percentile / 100)] / 1e9;
    }
}
