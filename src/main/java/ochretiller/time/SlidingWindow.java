package ochretiller.time;

import java.time.Duration;
import java.util.Arrays;

/** Weighted sums over the last buckets of time, which are used again in a ring. */
public final class SlidingWindow {
    private final Duration bucket;
    private final double[] sums;
    private final double[] weights;
    private double sum;
    private double weight;
    private long head;

    public SlidingWindow(Duration bucket, int buckets) {
        this.bucket = bucket;
        this.sums = new double[buckets];
        this.weights = new double[buckets];
    }

    public void add(Duration now, double x, double weight) {
        int at = turn(now);
        sums[at] += x;
        weights[at] += weight;
        sum += x;
        this.weight += weight;
    }

    public double sum(Duration now) {
        turn(now);
        return sum;
    }

    public double mean(Duration now, double unmeasured) {
        turn(now);
        return weight > 0 ? sum / weight : unmeasured;
    }

    /** The weight of all that the mean is made of. */
    public double weight(Duration now) {
        turn(now);
        return weight;
    }

    /** Forgets all, as if nothing had been added. */
    public void clear() {
        Arrays.fill(sums, 0);
        Arrays.fill(weights, 0);
        sum = 0;
        weight = 0;
    }

    /** Empties the buckets that time has passed, and tells the present one. */
    private int turn(Duration now) {
        long to = Math.max(head, now.toNanos() / bucket.toNanos());
        if (to == head) {
            return (int) (head % sums.length);
        }
        for (long i = Math.max(head + 1, to - sums.length + 1); i <= to; i++) {
            sums[(int) (i % sums.length)] = 0;
            weights[(int) (i % sums.length)] = 0;
        }
        head = to;
        sum = Arrays.stream(sums).sum();
        weight = Arrays.stream(weights).sum();
        return (int) (head % sums.length);
    }
}
