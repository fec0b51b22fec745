package ochretiller.pools;

import java.time.Duration;

/**
 * The settings of a pool.
 *
 * @param mostInFlight requests that one worker may have in flight
 * @param failuresInRow consecutive failures that eject a worker
 * @param badShare ratio of failures among the recent requests, 0 to 1, that ejects a worker, too
 * @param leftOut how long a worker is ejected at first; doubled each time that its probes fail
 * @param mostLeftOut how long a worker is ejected at most
 * @param probes requests that an ejected worker may have in flight as probes, and how many must
 *     succeed to readmit it
 * @param slowStart how long a new or readmitted worker takes to reach its full limit; zero for none
 * @param retryShare retries allowed for each original request
 * @param retryBurst retries that may be saved up
 */
public record PoolSettings(
        int mostInFlight,
        int failuresInRow,
        double badShare,
        Duration leftOut,
        Duration mostLeftOut,
        int probes,
        Duration slowStart,
        double retryShare,
        double retryBurst) {
    /** Defaults, for workers that take tens to hundreds of milliseconds. */
    public static final PoolSettings USUAL =
            new PoolSettings(
                    32,
                    5,
                    0.5,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(30),
                    2,
                    Duration.ofSeconds(5),
                    0.1,
                    10);
}
