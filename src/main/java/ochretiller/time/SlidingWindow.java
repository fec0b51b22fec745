package ochretiller.time;

import java.time.Duration;
import java.util.Arrays;

/**
 * Weighted sums of samples over a sliding time window, stored in a ring of buckets. The window
 * moves by whole buckets, so samples expire one bucket at a time. Not thread-safe; callers pass in
 * the time, which must not go backwards.
 */
public final class SlidingWindow {
    private final Duration bucketLength;
    private final double[] bucketSums;
    private final double[] bucketWeights;
    private double sum;
    private double weight;

    /** Number of the current bucket, counted from time zero. */
    private long currentBucket;

    /**
     * Creates an empty window.
     *
     * @param bucketLength length of one bucket
     * @param buckets number of buckets in the window, including the current one
     */
    public SlidingWindow(Duration bucketLength, int buckets) {
        this.bucketLength = bucketLength;
        this.bucketSums = new double[buckets];
        this.bucketWeights = new double[buckets];
    }

    /** Adds a sample that counts with the given weight in the mean. */
    public void add(Duration now, double sample, double sampleWeight) {
        int index = advanceTo(now);
        bucketSums[index] += sample;
        bucketWeights[index] += sampleWeight;
        sum += sample;
        weight += sampleWeight;
    }

    /** Returns the sum of the samples in the window. */
    public double sum(Duration now) {
        advanceTo(now);
        return sum;
    }

    /** Returns the sum of the samples over the sum of their weights, or {@code defaultMean}. */
    public double mean(Duration now, double defaultMean) {
        advanceTo(now);
        return weight > 0 ? sum / weight : defaultMean;
    }

    /** Returns the sum of the weights in the window. */
    public double weight(Duration now) {
        advanceTo(now);
        return weight;
    }

    /** Removes all samples. */
    public void clear() {
        Arrays.fill(bucketSums, 0);
        Arrays.fill(bucketWeights, 0);
        sum = 0;
        weight = 0;
    }

    /** Clears the expired buckets, and returns the index of the current one. */
    private int advanceTo(Duration now) {
        int buckets = bucketSums.length;
        long target = Math.max(currentBucket, now.toNanos() / bucketLength.toNanos());
        if (target != currentBucket) {
            for (long i = Math.max(currentBucket + 1, target - buckets + 1); i <= target; i++) {
                bucketSums[(int) (i % buckets)] = 0;
                bucketWeights[(int) (i % buckets)] = 0;
            }
            currentBucket = target;
            // Recomputed so that rounding errors do not accumulate.
            sum = Arrays.stream(bucketSums).sum();
            weight = Arrays.stream(bucketWeights).sum();
        }
        return (int) (currentBucket % buckets);
    }
}
