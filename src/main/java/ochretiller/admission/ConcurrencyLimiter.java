package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import ochretiller.model.ResourceGauges;

/**
 * Adaptive limit on how many runs may occupy the cores at once, driven by throughput as in
 * Netflix's concurrency-limits.
 *
 * <p>The limit starts at the number of cores and never falls below it. While the cores have spare
 * capacity and only the limit delays queued work, it grows by a step that doubles each window. When
 * throughput falls while the cores are busy, it shrinks by one. It stays below the concurrency that
 * the server survives, which is lower during {@link SlowStart}.
 */
final class ConcurrencyLimiter {
    /** CPU utilization below which the cores have spare capacity; above it they are busy. */
    private static final double BUSY_UTILIZATION = 0.85;

    /**
     * Share of the survivable concurrency that the limit may reach. Runs that resume after a
     * downstream call are not limited and add to it.
     */
    private static final double SURVIVABLE_SHARE = 0.6;

    /** Completions per throughput sample, enough to distinguish a drop from noise. */
    private static final int SAMPLE_SIZE = 16;

    /** Relative drop of throughput at which the limit shrinks. */
    private static final double THROUGHPUT_DROP = 0.15;

    private final int cores;
    private final double survivableMultiple;
    private final SlowStart slowStart;
    private double limit;
    private double step = 1;
    private double lastThroughput;
    private int completions;
    private Duration sampleStartedAt = Duration.ZERO;
    private Duration lastUnlimitedAt = Duration.ZERO;
    private Duration windowEndsAt = MeasurementWindows.BUCKET;

    /**
     * Creates a limiter whose limit is the number of cores.
     *
     * @param cores cores of the server
     * @param survivableMultiple concurrent runs per core that the server survives once warm
     * @param slowStart speed of the server during warm-up
     */
    ConcurrencyLimiter(int cores, double survivableMultiple, SlowStart slowStart) {
        this.cores = cores;
        this.survivableMultiple = survivableMultiple;
        this.slowStart = slowStart;
        this.limit = cores;
    }

    /** Returns how many runs may occupy the cores now. */
    int currentLimit(Duration now) {
        double speed = slowStart.speedAfter(now);
        double survivable = cores * (1 + (survivableMultiple - 1) * speed);
        return (int) Math.max(cores, Math.min(limit, survivable * SURVIVABLE_SHARE));
    }

    /** Counts a run on the cores that succeeded. */
    void onRunSucceeded() {
        completions++;
    }

    /**
     * Adapts the limit, once per window.
     *
     * @param now the time
     * @param gauges the host's gauges; a NaN gauge neither grows nor shrinks the limit
     * @param isLimiting whether work is queued while the limit is reached
     */
    void onTick(Duration now, ResourceGauges gauges, boolean isLimiting) {
        if (!isLimiting) {
            lastUnlimitedAt = now;
        }
        if (now.compareTo(windowEndsAt) < 0) {
            return;
        }
        grow(now, gauges);
        windowEndsAt = now.plus(MeasurementWindows.BUCKET);
        if (completions >= SAMPLE_SIZE) {
            shrinkIfThroughputFell(now, gauges);
        }
    }

    private void grow(Duration now, ResourceGauges gauges) {
        // Spare capacity measured below the limit is no evidence that the limit is too low.
        boolean wasLimiting = now.minus(lastUnlimitedAt).compareTo(MeasurementWindows.BUCKET) >= 0;
        boolean hasSpareCapacity = wasLimiting && gauges.cpuUtilization() < BUSY_UTILIZATION;
        if (hasSpareCapacity) {
            limit = Math.min(limit + step, cores * survivableMultiple);
        }
        step = hasSpareCapacity ? step * 2 : 1;
    }

    private void shrinkIfThroughputFell(Duration now, ResourceGauges gauges) {
        double throughput = completions / inSeconds(now.minus(sampleStartedAt));
        boolean isBusy = gauges.cpuUtilization() > BUSY_UTILIZATION;
        if (isBusy && throughput < lastThroughput * (1 - THROUGHPUT_DROP)) {
            limit = Math.max(cores, limit - 1);
        }
        lastThroughput = throughput;
        completions = 0;
        sampleStartedAt = now;
    }
}
