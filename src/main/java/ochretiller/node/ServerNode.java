package ochretiller.node;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.ClientLimits;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.jsonrpc.HealthChecks;
import ochretiller.jsonrpc.JsonRpcFrontend;
import ochretiller.metrics.Metrics;
import ochretiller.metrics.MetricsFile;
import ochretiller.model.Operation;
import ochretiller.net.Network;
import ochretiller.operator.OperatorConfig;
import ochretiller.processor.ProcessorClient;
import ochretiller.records.RecordsClient;
import ochretiller.registry.RegistryReporter;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;

/**
 * One server process: creates the components and connects them. {@link #prepare}, {@link #listen}
 * and {@link #run} are called once, in this order; the thread that calls {@code run} becomes the
 * event loop, which owns all state. {@link #reload} and {@link #drain} may be called on any thread.
 */
public final class ServerNode {
    private static final Logger LOG = Logger.getLogger(ServerNode.class.getName());
    private static final long BYTES_PER_MB = 1024L * 1024L;

    /** The cache of results may use the memory limit divided by this number. */
    private static final int CACHE_MEMORY_DIVISOR = 8;

    /** Client connections may use the file descriptor limit divided by this number. */
    private static final int CLIENT_DESCRIPTORS_DIVISOR = 2;

    /** Calls to the records service may use the file descriptor limit divided by this number. */
    private static final int CALL_DESCRIPTORS_DIVISOR = 8;

    /**
     * Simulated invocations of each operation before the first real one: enough for the JIT to
     * compile the code that every invocation executes.
     */
    private static final int WARM_UP_ROUNDS = 250;

    /** Client timeout to assume if no operation is configured. */
    private static final Duration DEFAULT_CLIENT_TIMEOUT = Duration.ofMillis(20);

    private final NodeSettings settings;
    private final ServerConfiguration configuration;
    private final EventLoop loop = new EventLoop();
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final Metrics metrics = new Metrics();
    private final ServerResources resources;
    private final OperatorFeatures features;
    private final JsonRpcFrontend jsonRpc;
    private final RegistryReporter registry;
    private final GracefulShutdown shutdown;
    private final StartupRequestHandler startupRequests;

    /** Handles requests and calls; empty until the processor has become available. */
    private Optional<AdmissionSession> session = Optional.empty();

    /** Returns a builder for a server with this configuration file. */
    public static ServerNodeBuilder builder(Path configFile) {
        return new ServerNodeBuilder(configFile);
    }

    ServerNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        configuration = settings.configuration();
        resources = createResources();
        registry =
                new RegistryReporter(loop, configuration.registryAddress(), configuration.name());
        WallClock clock = new WallClock(loop, settings.operator().simulatedFaults().clockError());
        jsonRpc =
                new JsonRpcFrontend(
                        resources.connections(),
                        configuration.operations(),
                        resources.health(),
                        clock::toLoopTime);
        features =
                settings.operator() == OperatorConfig.NONE
                        ? OperatorFeatures.none(loop)
                        : new OperatorWiring(settings, resources, clock, metrics).wire();
        startupRequests =
                new StartupRequestHandler(
                        loop, resources.connections(), features.idempotencyStore());
        shutdown =
                new GracefulShutdown(
                        loop, resources, features, registry, configuration.shutdownTimeout());
    }

    private ServerResources createResources() throws IOException {
        int maxClients = configuration.maxDescriptors() / CLIENT_DESCRIPTORS_DIVISOR;
        Network network =
                new Network(loop, memoryLimitBytes(), ClientConnections.maxDescriptors(maxClients));
        ProcessorClient processor =
                new ProcessorClient(
                        loop,
                        network,
                        configuration.processorAddress(),
                        List.of(configuration.settings().text("familyInfo.meters").split(",")),
                        this::onProcessorUp,
                        this::onCallRequested);
        RecordsClient records =
                new RecordsClient(
                        loop,
                        network,
                        configuration.recordsAddress(),
                        configuration.maxDescriptors() / CALL_DESCRIPTORS_DIVISOR);
        HealthChecks health = new HealthChecks(processor::startDeepCheck);
        ClientConnections connections =
                new ClientConnections(
                        loop,
                        new ClientLimits(
                                maxClients,
                                memoryLimitBytes(),
                                longestClientTimeout(),
                                configuration
                                        .settings()
                                        .duration("familyInfo.idleNs", Duration.ZERO)),
                        this::onRequestRead,
                        this::onClientDisconnected,
                        attempt -> requestHandler().isKnownRetry(attempt));
        return new ServerResources(loop, network, connections, health, processor, records);
    }

    private long memoryLimitBytes() {
        return configuration.memoryLimitMb() * BYTES_PER_MB;
    }

    private Duration longestClientTimeout() {
        Duration longest = null;
        for (Operation operation : configuration.operations().values()) {
            if (longest == null || operation.clientTimeout().compareTo(longest) > 0) {
                longest = operation.clientTimeout();
            }
        }
        return longest == null ? DEFAULT_CLIENT_TIMEOUT : longest;
    }

    /** Starts the idempotency store, the audit log and the metrics export; warms up the JVM. */
    public void prepare() throws IOException {
        features.idempotencyStore().start();
        features.audit().start();
        startMetricsFile();
        SplittableRandom random = new SplittableRandom(configuration.seed());
        new WarmUp(Settings.admissionController(configuration.settings(), random, false))
                .simulate(List.copyOf(configuration.operations().values()), WARM_UP_ROUNDS);
    }

    private void startMetricsFile() {
        if (settings.operator().metrics().isPresent()) {
            OperatorConfig.MetricsFile export = settings.operator().metrics().get();
            new MetricsFile(metrics, export.file()).start(export.interval());
        }
    }

    /**
     * Starts to listen for clients and to connect to the processor.
     *
     * @throws IOException if a listen address cannot be bound
     */
    public void listen() throws IOException {
        Network network = resources.network();
        network.listen("gateway", configuration.listenAddress(), jsonRpc::onAccepted);
        if (features.uwsgi().isPresent()) {
            network.listen(
                    "uwsgi",
                    settings.operator().uwsgi().orElseThrow().listen(),
                    features.uwsgi().get()::onAccepted);
        }
        resources.processor().connect();
        features.fleet().start();
        loop.post(registry::start);
    }

    /** Runs the event loop until the server is shut down. */
    public void run() {
        LOG.info(() -> configuration.name() + " listens on " + configuration.listenAddress());
        loop.run(resources.network()::flush);
        terminated.countDown();
    }

    /**
     * Reloads the addresses of other services, the worker pools and the fleet keys; all other
     * settings stay. An invalid configuration is logged and ignored. Files are read on the calling
     * thread, since the event loop must not block on them.
     */
    public void reload() {
        ServerConfiguration reloaded;
        Runnable poolsReload;
        try {
            reloaded = ServerConfiguration.read(settings.configFile());
            poolsReload = features.pools().prepareReload(reloaded);
            features.fleet().reload();
        } catch (MalformedException e) {
            LOG.warning("configuration not reloaded, keeping the current one: " + e.getMessage());
            return;
        }
        loop.post(
                () -> {
                    poolsReload.run();
                    LOG.info(
                            "configuration reloaded: processor="
                                    + reloaded.processorAddress()
                                    + ", records="
                                    + reloaded.recordsAddress()
                                    + ", roster="
                                    + reloaded.registryAddress());
                    resources.processor().changeAddress(reloaded.processorAddress());
                    resources.records().changeAddress(reloaded.recordsAddress());
                    registry.changeAddress(reloaded.registryAddress());
                });
    }

    /**
     * Shuts the server down, and returns when it has stopped or the shutdown timeout is over.
     * Further calls only wait.
     */
    public void drain() throws InterruptedException {
        loop.post(() -> shutdown.start(requestHandler()));
        terminated.await(configuration.shutdownTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }

    private RequestHandler requestHandler() {
        return session.isPresent() ? session.get() : startupRequests;
    }

    private void onRequestRead(RequestAttempt attempt) {
        features.rollout().bindVersion(attempt);
        requestHandler().onRequestRead(attempt);
    }

    private void onClientDisconnected(RequestAttempt attempt) {
        requestHandler().onClientDisconnected(attempt);
    }

    private void onCallRequested(String requestId, byte[] body) {
        session.orElseThrow().onCallRequested(requestId, body);
    }

    /**
     * Starts admission when the processor becomes available for the first time. The admission clock
     * counts from the start of the processor, {@code age} ago.
     */
    private void onProcessorUp(boolean cold, Duration age) {
        if (session.isPresent()) {
            return;
        }
        LOG.info(
                () ->
                        "processor is available, "
                                + (cold ? "cold" : "warm")
                                + ", started "
                                + age.toMillis()
                                + " ms ago");
        AdmissionSession newSession =
                new AdmissionSession(
                        resources,
                        features,
                        Settings.admissionController(
                                configuration.settings(),
                                new SplittableRandom(configuration.seed()),
                                cold),
                        new IdempotencyCache(
                                memoryLimitBytes() / CACHE_MEMORY_DIVISOR,
                                configuration
                                        .settings()
                                        .duration("familyInfo.freshNs", Duration.ZERO)),
                        age);
        session = Optional.of(newSession);
        newSession.start(configuration.operations(), age);
        if (shutdown.isStarted()) {
            newSession.onShutdownNotice(Duration.ZERO);
        }
        for (RequestAttempt attempt : startupRequests.takeWaitingRetries()) {
            if (!attempt.isAnswered()) {
                newSession.onRequestRead(attempt);
            }
        }
    }
}
