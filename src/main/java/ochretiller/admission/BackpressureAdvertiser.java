package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import ochretiller.server.ServerActions;

/**
 * What the server tells its clients unasked, once a tick: whether it is healthy, how much capacity
 * it advertises, and when idle connections are closed.
 */
final class BackpressureAdvertiser {
    /** Expected wait, as a share of the shortest latency objective, at which capacity closes. */
    private static final double LONG_WAIT_SHARE = 0.4;

    private final AdvertisedCapacity capacity;
    private final IdleTimeoutPolicy idleTimeout;
    private final OverloadDetector overload;
    private boolean isHealthy = true;

    BackpressureAdvertiser(
            AdvertisedCapacity capacity, IdleTimeoutPolicy idleTimeout, OverloadDetector overload) {
        this.capacity = capacity;
        this.idleTimeout = idleTimeout;
        this.overload = overload;
    }

    /** Reports a server that has just started as healthy. */
    void announceStart(ServerActions server) {
        server.setHealth(true, true);
    }

    /** Reports a draining server as unhealthy, so that balancers stop sending. */
    void announceDrain(ServerActions server) {
        server.setHealth(false, true);
    }

    /** Advertises no capacity any more. */
    void closeCapacity(ServerActions server) {
        capacity.close().ifPresent(server::advertiseCapacity);
    }

    /**
     * Adapts health and advertised capacity to the load.
     *
     * @param server where they are published
     * @param expectedWait time until a newcomer would start
     * @param shortestObjective the shortest latency objective of the operations served
     */
    void onTick(ServerActions server, Duration expectedWait, Duration shortestObjective) {
        overload.expireReadDelay(server.now());
        updateHealth(server, shortestObjective);
        boolean isWaitLong =
                inSeconds(expectedWait) > inSeconds(shortestObjective) * LONG_WAIT_SHARE;
        boolean isOverloaded = isWaitLong || overload.hasReadBacklog(shortestObjective);
        capacity.adapt(isOverloaded).ifPresent(server::advertiseCapacity);
    }

    /** Turns unhealthy at a severe backlog, and healthy again only once there is none at all. */
    private void updateHealth(ServerActions server, Duration shortestObjective) {
        boolean changes =
                isHealthy
                        ? overload.hasSevereReadBacklog(shortestObjective)
                        : !overload.hasReadBacklog(shortestObjective);
        if (changes) {
            // Guards against a backlog that feeds itself: clients that have given up are never told
            // when to come back, and retry.
            isHealthy = !isHealthy;
            server.setHealth(isHealthy, true);
        }
    }

    /** Adapts the idle timeout to the open connections; NaN where their number is unknown. */
    void onConnections(ServerActions server, double openConnections) {
        idleTimeout.adapt(server.now(), openConnections).ifPresent(server::setIdleTimeout);
    }
}
