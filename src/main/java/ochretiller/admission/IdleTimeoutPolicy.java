package ochretiller.admission;

import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.Optional;

/**
 * Determines the idle timeout of connections, which is reduced step by step while many are open.
 * Guards against a full connection table, which rejects clients before their requests are read.
 */
final class IdleTimeoutPolicy {
    /** Open connections per core above which the idle timeout shrinks. */
    private static final double MANY_CONNECTIONS_PER_CORE = 8;

    private final int cores;
    private final Duration maxTimeout;
    private Duration timeout;
    private Duration nextChangeAt = Duration.ZERO;

    /**
     * Creates a policy that starts with the longest timeout.
     *
     * @param cores cores of the server
     * @param maxTimeout the longest allowed timeout; zero if none is configured
     */
    IdleTimeoutPolicy(int cores, Duration maxTimeout) {
        this.cores = cores;
        this.maxTimeout = maxTimeout;
        this.timeout = maxTimeout;
    }

    /**
     * Adapts the timeout to the open connections.
     *
     * @param now the time
     * @param openConnections number of open connections; NaN if unknown, which changes nothing
     * @return the new timeout, or empty if it is unchanged
     */
    Optional<Duration> adapt(Duration now, double openConnections) {
        if (now.compareTo(nextChangeAt) < 0) {
            return Optional.empty();
        }
        // The effect of a change is visible only in the next gauge.
        nextChangeAt = now.plus(MeasurementWindows.BUCKET);
        Duration next = nextTimeout(openConnections);
        if (next.equals(timeout)) {
            return Optional.empty();
        }
        timeout = next;
        return Optional.of(next);
    }

    private Duration nextTimeout(double openConnections) {
        double threshold = MANY_CONNECTIONS_PER_CORE * cores;
        if (openConnections > threshold) {
            return max(AdmissionTiming.TICK_INTERVAL, timeout.dividedBy(2));
        }
        if (openConnections < threshold / 2) {
            return min(maxTimeout, timeout.multipliedBy(2));
        }
        return timeout;
    }
}
