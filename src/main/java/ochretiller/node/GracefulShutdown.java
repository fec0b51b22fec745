package ochretiller.node;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.registry.RegistryReporter;

/**
 * Shuts a server down after its notice. Gateways learn seconds late that it leaves the registry,
 * and a request that finds no listener is lost while one that is rejected goes to another server;
 * so it serves on until just before the process is killed, then closes the listeners, waits for the
 * last answers, closes everything, and waits until clients have read them.
 *
 * <p>Event loop thread only.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    /** Time to write the last answers and end before the kill. */
    private static final Duration ENDING = Duration.ofMillis(150);

    /**
     * A request may be on its way for 50 ms when its client learns that the server leaves; twice
     * that is waited.
     */
    private static final Duration REQUESTS_IN_TRANSIT = Duration.ofMillis(100);

    /** Time for the last runs to be answered and for requests in transit to be rejected. */
    private static final Duration CLOSING = REQUESTS_IN_TRANSIT.plusMillis(100);

    /** Time for the process to exit once its threads have ended. */
    private static final Duration EXIT = Duration.ofMillis(70);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final ServerResources resources;
    private final OperatorFeatures features;
    private final RegistryReporter registry;
    private final Duration timeout;
    private boolean started;

    /**
     * Creates a shutdown that has not started.
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
        return started;
    }

    /** Starts the shutdown; a second call does nothing. */
    void start(RequestHandler requests) {
        if (started) {
            return;
        }
        started = true;
        LOG.info("leaves");
        Duration remaining = timeout.minus(ENDING);
        registry.leave();
        features.fleet().leave();
        resources.health().set(false, true);
        requests.onShutdownNotice(remaining);
        Duration serving = remaining.minus(CLOSING);
        loop.after(
                serving.isNegative() ? Duration.ZERO : serving,
                () -> stopListening(remaining.minus(serving)));
    }

    private void stopListening(Duration remaining) {
        resources.network().closeListeners();
        resources.connections().leave();
        Duration end = loop.now().plus(remaining);
        loop.after(REQUESTS_IN_TRANSIT, () -> closeWhenAnswered(end));
    }

    private void closeWhenAnswered(Duration end) {
        if (resources.connections().openTries() > 0 && loop.now().compareTo(end) < 0) {
            loop.after(POLL_INTERVAL, () -> closeWhenAnswered(end));
            return;
        }
        resources.connections().close();
        resources.processor().close();
        resources.records().close();
        features.pools().close();
        features.idempotencyStore().close();
        features.audit().close();
        features.fleet().close();
        resources.network().flush();
        Duration exit = end.plus(ENDING).minus(EXIT);
        loop.after(POLL_INTERVAL, () -> stopWhenRead(exit));
    }

    /**
     * Clients end their side once they have read the last answers; until then the connections stay.
     */
    private void stopWhenRead(Duration exit) {
        if (resources.connections().connections() > 0 && loop.now().compareTo(exit) < 0) {
            loop.after(POLL_INTERVAL, () -> stopWhenRead(exit));
            return;
        }
        resources.connections().drop();
        // Later, so that each connection has logged its end before.
        loop.after(POLL_INTERVAL, this::stop);
    }

    private void stop() {
        LOG.info("ends");
        resources.network().stop();
        loop.stop();
    }
}
