package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import ochretiller.model.ResourceGauges;

/**
 * How many runs may occupy the cores at once: an adaptive limit, as in Netflix's
 * concurrency-limits, that climbs on throughput.
 *
 * <p>It starts at the number of cores and never goes below. While the cores have room and the limit
 * alone keeps work queued it grows by a step that doubles every window; once completions fall while
 * the cores are busy it steps back by one. It stays under the concurrency that the server survives,
 * which is lower during {@link SlowStart} (rule "nothing falls over").
 */
final class ConcurrencyLimiter {
    /** Utilization of the cores under which one more run has room, and over which they are busy. */
    private static final double BUSY_UTILIZATION = 0.85;

    /**
     * Share of the survivable concurrency that the limit may reach. Runs that come back from a
     * downstream call are not limited and come on top.
     */
    private static final double SURVIVABLE_SHARE = 0.6;

    /** Completions in a sample: enough to tell a fall of throughput from chance. */
    private static final int SAMPLE_SIZE = 16;

    /** Relative fall of throughput at which the limit steps back. */
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
     * @param survivableMultiple runs for each core that the server survives when it is warm
     * @param slowStart its speed while it warms up
     */
    ConcurrencyLimiter(int cores, double survivableMultiple, SlowStart slowStart) {
        this.cores = cores;
        this.survivableMultiple = survivableMultiple;
        this.slowStart = slowStart;
        this.limit = cores;
    }

    /** Returns how many runs may occupy the cores at this time. */
    int currentLimit(Duration now) {
        double speed = slowStart.speedAfter(now);
        double survivable = cores * (1 + (survivableMultiple - 1) * speed);
        return (int) Math.max(cores, Math.min(limit, survivable * SURVIVABLE_SHARE));
    }

    /** A run on the cores has succeeded. */
    void onRunSucceeded() {
        completions++;
    }

    /**
     * Adapts the limit, once a window.
     *
     * @param now the time
     * @param gauges the host's gauges; those that are NaN never make the limit grow or shrink
     * @param isLimiting whether work is queued and the limit is reached
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
            stepBackIfThroughputFell(now, gauges);
        }
    }

    private void grow(Duration now, ResourceGauges gauges) {
        // Room that the gauge saw while less ran than may is no evidence of room for more.
        boolean wasLimiting = now.minus(lastUnlimitedAt).compareTo(MeasurementWindows.BUCKET) >= 0;
        boolean hasRoom = wasLimiting && gauges.cpuUtilization() < BUSY_UTILIZATION;
        if (hasRoom) {
            limit = Math.min(limit + step, cores * survivableMultiple);
        }
        step = hasRoom ? step * 2 : 1;
    }

    private void stepBackIfThroughputFell(Duration now, ResourceGauges gauges) {
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
