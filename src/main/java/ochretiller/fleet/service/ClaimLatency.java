package ochretiller.fleet.service;

import java.time.Duration;
import java.util.Arrays;

/** How long the last claims that were granted took; written on the one thread, read from any. */
final class ClaimLatency {
    /** Claims that are told of: what a second of a busy server has. */
    private static final int LAST = 1_024;

    private final long[] nanos = new long[LAST];
    private long count;
    private volatile long[] sorted = {};

    void add(Duration took) {
        nanos[(int) (count++ % LAST)] = took.toNanos();
    }

    /** From here on the percentiles are of what has come so far. */
    void publish() {
        long[] all = Arrays.copyOf(nanos, (int) Math.min(count, LAST));
        Arrays.sort(all);
        sorted = all;
    }

    double seconds(double percentile) {
        long[] all = sorted;
        return all.length == 0
                ? 0
                : all[(int) Math.min(all.length - 1, all.length * percentile / 100)] / 1e9;
    }
}
