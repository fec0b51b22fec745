package ochretiller.pools;

import java.time.Duration;

/**
 * What a pool may do.
 *
 * @param mostInFlight requests that one worker may have at once
 * @param failuresInRow ends in a row that are not good from which a worker is left out
 * @param badShare share of bad ends among its last ones from which it is left out, too
 * @param leftOut how long it is left out at first; it doubles each time that its probes fail
 * @param mostLeftOut longest time that it is left out
 * @param probes requests that it may have at once while it is being tried, and good ends that let
 *     it in again
 * @param slowStart time over which a fresh one, or one let in again, comes to its full part
 * @param retryShare second tries allowed for each first try
 * @param retryBurst second tries that may be saved up
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
    /** Fits workers that take tens to hundreds of milliseconds. */
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
