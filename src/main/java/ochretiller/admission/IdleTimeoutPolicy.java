package ochretiller.admission;

import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.Optional;

/**
 * After how long idle connections are closed: sooner, step by step, while many are open. Guards
 * against a full connection table, which turns clients away before they are read.
 */
final class IdleTimeoutPolicy {
    /** Open connections for each core over which idle ones are closed sooner. */
    private static final double MANY_CONNECTIONS_PER_CORE = 8;

    private final int cores;
    private final Duration longest;
    private Duration timeout;
    private Duration nextChangeAt = Duration.ZERO;

    /**
     * Creates a policy that begins with the longest timeout.
     *
     * @param cores cores of the server
     * @param longest the longest timeout that the site allows; zero where it sets none
     */
    IdleTimeoutPolicy(int cores, Duration longest) {
        this.cores = cores;
        this.longest = longest;
        this.timeout = longest;
    }

    /**
     * Adapts the timeout to the open connections.
     *
     * @param now the time
     * @param openConnections the gauge, or NaN where it is unknown, which changes nothing
     * @return the new timeout, or empty if it stays
     */
    Optional<Duration> adapt(Duration now, double openConnections) {
        if (now.compareTo(nextChangeAt) < 0) {
            return Optional.empty();
        }
        // What is closed now shows in the next gauge only.
        nextChangeAt = now.plus(MeasurementWindows.BUCKET);
        Duration next = nextTimeout(openConnections);
        if (next.equals(timeout)) {
            return Optional.empty();
        }
        timeout = next;
        return Optional.of(next);
    }

    private Duration nextTimeout(double openConnections) {
        double many = MANY_CONNECTIONS_PER_CORE * cores;
        if (openConnections > many) {
            return max(AdmissionTiming.TICK_INTERVAL, timeout.dividedBy(2));
        }
        if (openConnections < many / 2) {
            return min(longest, timeout.multipliedBy(2));
        }
        return timeout;
    }
}
