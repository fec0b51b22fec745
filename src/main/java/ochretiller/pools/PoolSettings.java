package ochretiller.pools;

import java.time.Duration;

/**
 * The settings of a worker pool.
 *
 * @param maxInFlight maximum requests in flight of one worker
 * @param consecutiveFailureLimit consecutive failures after which a worker is ejected
 * @param failureRatioLimit ratio of failures among recent requests, 0 to 1, that also ejects a
 *     worker
 * @param initialEjection duration of the first ejection; doubled each time that a probe fails
 * @param maxEjection maximum duration of an ejection
 * @param probes maximum probes in flight of a worker whose ejection has ended, and the number that
 *     must succeed to readmit it
 * @param slowStart time in which a new or readmitted worker reaches its full limit; zero for none
 * @param retryRatio retries allowed per original request
 * @param retryBurst maximum unused retries that accumulate
 */
public record PoolSettings(
        int maxInFlight,
        int consecutiveFailureLimit,
        double failureRatioLimit,
        Duration initialEjection,
        Duration maxEjection,
        int probes,
        Duration slowStart,
        double retryRatio,
        double retryBurst) {
    /** Default settings, for workers that answer within tens to hundreds of milliseconds. */
    public static final PoolSettings DEFAULT =
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
