package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import ochretiller.server.ServerActions;

/**
 * Publishes load signals to clients once per tick: the health of the server, its advertised
 * capacity, and the idle timeout of connections.
 */
final class BackpressureAdvertiser {
    /** Share of the shortest latency objective above which an expected wait means overload. */
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

    /** Reports the server as healthy when it has started. */
    void announceStart(ServerActions server) {
        server.setHealth(true, true);
    }

    /** Reports a draining server as unhealthy, so that load balancers stop sending requests. */
    void announceDrain(ServerActions server) {
        server.setHealth(false, true);
    }

    /** Advertises zero capacity. */
    void advertiseNoCapacity(ServerActions server) {
        capacity.dropToZero().ifPresent(server::advertiseCapacity);
    }

    /**
     * Adapts health and advertised capacity to the load.
     *
     * @param server server that publishes them
     * @param expectedWait expected time until an invocation queued now would start
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

    /** Turns unhealthy at a severe backlog, and healthy only when there is no backlog at all. */
    private void updateHealth(ServerActions server, Duration shortestObjective) {
        boolean mustChange =
                isHealthy
                        ? overload.hasSevereReadBacklog(shortestObjective)
                        : !overload.hasReadBacklog(shortestObjective);
        if (mustChange) {
            // Guards against a backlog that sustains itself: clients that time out never receive a
            // Retry-After, and retry.
            isHealthy = !isHealthy;
            server.setHealth(isHealthy, true);
        }
    }

    /** Adapts the idle timeout to the number of open connections, NaN if unknown. */
    void adaptIdleTimeout(ServerActions server, double openConnections) {
        idleTimeout.adapt(server.now(), openConnections).ifPresent(server::setIdleTimeout);
    }
}
