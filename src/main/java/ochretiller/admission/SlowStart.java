package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;

/**
 * Speed of a server during warm-up, which rises linearly from an initial share to full speed. The
 * term is that of Envoy and HAProxy, where a load balancer sends fewer requests to a new server;
 * here the server itself accepts fewer.
 *
 * @param initialSpeed share of the full speed at the start; one if the server starts warm
 * @param duration time from the start until full speed; zero if there is no warm-up
 */
public record SlowStart(double initialSpeed, Duration duration) {
    /** A server that runs at full speed from the start. */
    public static final SlowStart NONE = new SlowStart(1, Duration.ZERO);

    /**
     * Returns the speed of a server, as a share of its full speed.
     *
     * @param uptime time since its start
     */
    double speedAfter(Duration uptime) {
        double progress =
                duration.isZero() ? 1 : Math.min(1, inSeconds(uptime) / inSeconds(duration));
        return initialSpeed + (1 - initialSpeed) * progress;
    }
}
