package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;

/**
 * How fast a server is while it warms up: from an initial share of its full speed it rises linearly
 * to all of it. The term is that of Envoy and HAProxy, where a balancer sends less to a new server;
 * here the server itself takes less.
 *
 * @param initialSpeed share of the full speed at the start, one where it starts warm
 * @param duration time from the start until full speed is reached; zero where there is no warm-up
 */
public record SlowStart(double initialSpeed, Duration duration) {
    /** A server that has its full speed from the start. */
    public static final SlowStart NONE = new SlowStart(1, Duration.ZERO);

    /**
     * Returns the share of its full speed that a server has.
     *
     * @param uptime time since its start
     */
    double speedAfter(Duration uptime) {
        double progress =
                duration.isZero() ? 1 : Math.min(1, inSeconds(uptime) / inSeconds(duration));
        return initialSpeed + (1 - initialSpeed) * progress;
    }
}
