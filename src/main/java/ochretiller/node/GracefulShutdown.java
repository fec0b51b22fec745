package ochretiller.node;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.frontend.ClientConnections;
import ochretiller.registry.RegistryReporter;

/**
 * Shuts a server down. Gateways learn seconds late that it has left the registry, and a request
 * that finds no listener is lost, while a rejected one goes to another server. So the server serves
 * until shortly before the process is killed; then it closes the listeners, waits for the last
 * answers, closes all components, and waits until the clients have read the answers.
 *
 * <p>Event loop thread only.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    /** Time reserved before the kill for writing the last answers and exiting. */
    private static final Duration TERMINATION_TIME = Duration.ofMillis(150);

    /**
     * Wait for requests that clients sent before they learned of the shutdown: twice the 50 ms that
     * a request may be in transit.
     */
    private static final Duration TRANSIT_TIME = Duration.ofMillis(100);

    /** Time to reject the requests in transit and to answer the last runs. */
    private static final Duration DRAIN_TIME = TRANSIT_TIME.plusMillis(100);

    /** Part of the termination time that the process needs to exit once its threads have ended. */
    private static final Duration PROCESS_EXIT_TIME = Duration.ofMillis(70);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final ServerResources resources;
    private final OperatorFeatures features;
    private final RegistryReporter registry;
    private final Duration timeout;
    private boolean isStarted;

    /**
     * Creates a shutdown; {@link #start} starts it.
     *
     * @param timeout time from the notice until the process is killed
     */
    GracefulShutdown(
            EventLoop loop,
            ServerResources resources,
            OperatorFeatures features,
            RegistryReporter registry,
            Duration timeout) {
        this.loop = loop;
        this.resources = resources;
        this.features = features;
        this.registry = registry;
        this.timeout = timeout;
    }

    boolean isStarted() {
        return isStarted;
    }

    /** Starts the shutdown; further calls do nothing. */
    void start(RequestHandler requests) {
        if (isStarted) {
            return;
        }
        isStarted = true;
        LOG.info("server is draining, shutdown timeout " + timeout.toMillis() + " ms");
        Duration remaining = timeout.minus(TERMINATION_TIME);
        registry.reportLeaving();
        features.fleet().leave();
        resources.health().setStatus(false, true);
        requests.onShutdownNotice(remaining);
        Duration servingTime = remaining.minus(DRAIN_TIME);
        loop.runAfter(
                servingTime.isNegative() ? Duration.ZERO : servingTime,
                () -> stopListening(remaining.minus(servingTime)));
    }

    private void stopListening(Duration remaining) {
        resources.network().closeListeners();
        resources.connections().startDrain();
        Duration drainEnd = loop.now().plus(remaining);
        loop.runAfter(TRANSIT_TIME, () -> closeWhenAnswered(drainEnd));
    }

    private void closeWhenAnswered(Duration drainEnd) {
        ClientConnections connections = resources.connections();
        boolean isDone = connections.openAttemptCount() == 0 && connections.isInputProcessed();
        if (!isDone && loop.now().compareTo(drainEnd) < 0) {
            loop.runAfter(POLL_INTERVAL, () -> closeWhenAnswered(drainEnd));
            return;
        }
        connections.closeAll();
        resources.processor().close();
        resources.records().close();
        features.pools().close();
        features.idempotencyStore().close();
        features.audit().close();
        features.fleet().close();
        resources.network().flush();
        Duration exitBy = drainEnd.plus(TERMINATION_TIME).minus(PROCESS_EXIT_TIME);
        loop.runAfter(POLL_INTERVAL, () -> stopWhenClientsClosed(exitBy));
    }

    /**
     * Keeps connections open until their clients, having read the last answers, have closed them.
     */
    private void stopWhenClientsClosed(Duration exitBy) {
        if (resources.connections().connectionCount() > 0 && loop.now().compareTo(exitBy) < 0) {
            loop.runAfter(POLL_INTERVAL, () -> stopWhenClientsClosed(exitBy));
            return;
        }
        resources.connections().dropAll();
        // Delayed, so that each connection can log its end first.
        loop.runAfter(POLL_INTERVAL, this::stop);
    }

    private void stop() {
        LOG.info("server has stopped");
        resources.network().stop();
        loop.stop();
    }
}
