package ochretiller.time;

import java.time.Duration;
import java.util.Arrays;

/**
 * Weighted sums of samples over a sliding window of time, kept in a ring of buckets. The window
 * moves by whole buckets, so that samples leave it a bucket at a time. Not thread-safe; time is
 * handed in and taken never to go back.
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
     * @param buckets how many buckets the window spans, the current one included
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

    /** Returns the sum of the samples over the sum of their weights, or a default without any. */
    public double mean(Duration now, double withoutSamples) {
        advanceTo(now);
        return weight > 0 ? sum / weight : withoutSamples;
    }

    /** Returns the sum of the weights in the window. */
    public double weight(Duration now) {
        advanceTo(now);
        return weight;
    }

    /** Forgets all samples. */
    public void clear() {
        Arrays.fill(bucketSums, 0);
        Arrays.fill(bucketWeights, 0);
        sum = 0;
        weight = 0;
    }

    /** Empties the buckets that have left the window, and returns the index of the current one. */
    private int advanceTo(Duration now) {
        int buckets = bucketSums.length;
        long target = Math.max(currentBucket, now.toNanos() / bucketLength.toNanos());
        if (target != currentBucket) {
            for (long i = Math.max(currentBucket + 1, target - buckets + 1); i <= target; i++) {
                bucketSums[(int) (i % buckets)] = 0;
                bucketWeights[(int) (i % buckets)] = 0;
            }
            currentBucket = target;
            // Summed anew, so that rounding errors do not pile up.
            sum = Arrays.stream(bucketSums).sum();
            weight = Arrays.stream(bucketWeights).sum();
        }
        return (int) (currentBucket % buckets);
    }
}
