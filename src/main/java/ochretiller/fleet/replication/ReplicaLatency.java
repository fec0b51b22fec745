package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks response times of replicas, to choose which to contact first and after what delay to send
 * a hedged request to one more ("The Tail at Scale", Dean and Barroso 2013). Mean and deviation are
 * exponentially weighted as in the retransmission timer of TCP (RFC 6298), with one weight for
 * both. Not thread-safe; callers pass the measured times.
 */
final class ReplicaLatency {
    /** Weight of the latest response in mean and deviation. */
    private static final double LATEST_WEIGHT = 0.1;

    /** Number of deviations above the mean at which a reply counts as late. */
    private static final double LATE_DEVIATIONS = 4;

    /** Minimum hedge delay, to stay above the timer resolution of the host's event loop. */
    private static final Duration MIN_HEDGE_DELAY = Duration.ofMillis(5);

    private static final Duration MAX_HEDGE_DELAY = Duration.ofMillis(50);

    /** Maximum number of replicas tracked; bounds memory if new names keep appearing. */
    private static final int MAX_TRACKED = 4_096;

    private final Map<String, Estimate> estimates = new HashMap<>();

    private static final class Estimate {
        private double meanNanos;
        private double deviationNanos;

        Estimate(double firstNanos) {
            meanNanos = firstNanos;
            deviationNanos = firstNanos / 2;
        }

        void add(double nanos) {
            deviationNanos += LATEST_WEIGHT * (Math.abs(nanos - meanNanos) - deviationNanos);
            meanNanos += LATEST_WEIGHT * (nanos - meanNanos);
        }

        double lateThresholdNanos() {
            return meanNanos + LATE_DEVIATIONS * deviationNanos;
        }
    }

    /** Records how long a replica took to answer. */
    void record(String replica, Duration elapsed) {
        if (estimates.size() >= MAX_TRACKED && !estimates.containsKey(replica)) {
            return;
        }
        double nanos = Math.max(0, elapsed.toNanos());
        Estimate estimate = estimates.get(replica);
        if (estimate == null) {
            estimates.put(replica, new Estimate(nanos));
        } else {
            estimate.add(nanos);
        }
    }

    /**
     * Returns the replicas in the order in which to contact them: responsive ones by mean latency,
     * then unresponsive ones.
     */
    List<String> fastestFirst(List<String> replicas, UnresponsivePeers unresponsive) {
        List<String> ordered = new ArrayList<>(replicas);
        ordered.sort(
                Comparator.comparing((String replica) -> unresponsive.isUnresponsive(replica))
                        .thenComparingDouble(this::meanNanos));
        return ordered;
    }

    private double meanNanos(String replica) {
        Estimate estimate = estimates.get(replica);
        return estimate == null ? 0 : estimate.meanNanos;
    }

    /** Returns how long to wait for these replicas before contacting one more. */
    Duration hedgeDelay(List<String> replicas) {
        double nanos = MIN_HEDGE_DELAY.toNanos();
        for (String replica : replicas) {
            Estimate estimate = estimates.get(replica);
            if (estimate != null) {
                nanos = Math.max(nanos, estimate.lateThresholdNanos());
            }
        }
        return Duration.ofNanos((long) Math.min(MAX_HEDGE_DELAY.toNanos(), nanos));
    }
}
