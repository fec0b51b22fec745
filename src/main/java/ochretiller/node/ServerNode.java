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
 * One server, from its start to its end: builds its parts and connects them. {@link #prepare},
 * {@link #listen} and {@link #run} are called once, in this order; the thread that calls {@code
 * run} becomes the event loop, which owns all state. {@link #reload} and {@link #drain} may be
 * called on any thread.
 */
public final class ServerNode {
    private static final Logger LOG = Logger.getLogger(ServerNode.class.getName());
    private static final long BYTES_PER_MB = 1024L * 1024L;

    /** Cached results may take this part of the memory limit. */
    private static final int CACHE_MEMORY_PART = 8;

    /** Clients may take this part of the file descriptors. */
    private static final int CLIENT_DESCRIPTORS_PART = 2;

    /** Calls to the records service may take this part of the file descriptors. */
    private static final int CALL_DESCRIPTORS_PART = 8;

    /**
     * Simulated invocations of each operation before the first real one: enough for the code on
     * their way to be compiled.
     */
    private static final int WARM_UP_ROUNDS = 250;

    /** Client timeout where no operation is configured. */
    private static final Duration MIN_CLIENT_TIMEOUT = Duration.ofMillis(20);

    private final NodeSettings settings;
    private final ServerConfiguration configuration;
    private final EventLoop loop = new EventLoop();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Metrics metrics = new Metrics();
    private final ServerResources resources;
    private final OperatorFeatures features;
    private final JsonRpcFrontend jsonRpc;
    private final RegistryReporter registry;
    private final GracefulShutdown shutdown;
    private final StartupRequestHandler startupRequests;

    /** Handles requests and calls once the processor is available. */
    private Optional<AdmissionSession> session = Optional.empty();

    /** Starts to build a server with this configuration. */
    public static ServerNodeBuilder builder(Path configFile) {
        return new ServerNodeBuilder(configFile);
    }

    ServerNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        configuration = settings.configuration();
        resources = createResources();
        registry =
                new RegistryReporter(loop, configuration.registryAddress(), configuration.name());
        WallClock clock = new WallClock(loop, settings.operator().drill().clock());
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
        Network network = new Network(loop, memoryLimitBytes());
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
                        configuration.maxDescriptors() / CALL_DESCRIPTORS_PART);
        HealthChecks health = new HealthChecks(processor::trial);
        ClientConnections connections =
                new ClientConnections(
                        loop,
                        configuration.maxDescriptors() / CLIENT_DESCRIPTORS_PART,
                        longestClientTimeout(),
                        configuration.settings().duration("familyInfo.idleNs", Duration.ZERO),
                        this::onRequestRead,
                        this::onClientGone);
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
        return longest == null ? MIN_CLIENT_TIMEOUT : longest;
    }

    /** Does everything that has to be done before the server listens. */
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
            OperatorConfig.Figures figures = settings.operator().metrics().get();
            new MetricsFile(metrics, figures.file()).start(figures.every());
        }
    }

    /**
     * Starts to listen, and to connect to the processor.
     *
     * @throws IOException if an address cannot be listened on
     */
    public void listen() throws IOException {
        Network network = resources.network();
        network.listen("gateway", configuration.listenAddress(), jsonRpc::accepted);
        if (features.uwsgi().isPresent()) {
            network.listen(
                    "uwsgi",
                    settings.operator().uwsgi().orElseThrow().listen(),
                    features.uwsgi().get()::accepted);
        }
        resources.processor().connect();
        features.fleet().start();
        loop.post(registry::start);
    }

    /** Runs the event loop until the server is shut down. */
    public void run() {
        LOG.info(() -> configuration.name() + " listens on " + configuration.listenAddress());
        loop.run(resources.network()::flush);
        ended.countDown();
    }

    /**
     * Reads the configuration again and moves to its addresses; everything else stays as it was. A
     * configuration that is wrong is logged and ignored. Files are read on the calling thread,
     * since the event loop must not wait for them.
     */
    public void reload() {
        ServerConfiguration next;
        Runnable poolsReload;
        try {
            next = ServerConfiguration.read(settings.configFile());
            poolsReload = features.pools().prepareReload(next);
            features.fleet().reload();
        } catch (MalformedException e) {
            LOG.warning("stays with its configuration: " + e.getMessage());
            return;
        }
        loop.post(
                () -> {
                    poolsReload.run();
                    LOG.info("takes the addresses of its configuration again");
                    resources.processor().move(next.processorAddress());
                    resources.records().move(next.recordsAddress());
                    registry.move(next.registryAddress());
                });
    }

    /**
     * Gives the server notice to shut down, and returns once it has; a second notice changes
     * nothing.
     */
    public void drain() throws InterruptedException {
        loop.post(() -> shutdown.start(requestHandler()));
        ended.await(configuration.shutdownTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }

    private RequestHandler requestHandler() {
        return session.isPresent() ? session.get() : startupRequests;
    }

    private void onRequestRead(RequestAttempt attempt) {
        features.rollout().bindVersion(attempt);
        requestHandler().onRequestRead(attempt);
    }

    private void onClientGone(RequestAttempt attempt) {
        requestHandler().onClientGone(attempt);
    }

    private void onCallRequested(String requestId, byte[] body) {
        session.orElseThrow().onCallRequested(requestId, body);
    }

    /**
     * The processor is available for the first time: admission starts, on a clock that started with
     * the processor.
     */
    private void onProcessorUp(boolean cold, Duration age) {
        if (session.isPresent()) {
            return;
        }
        LOG.info(
                () ->
                        "the processor is up, "
                                + (cold ? "cold" : "warm")
                                + ", started "
                                + age.toMillis()
                                + " ms ago");
        AdmissionSession started =
                new AdmissionSession(
                        resources,
                        features,
                        Settings.admissionController(
                                configuration.settings(),
                                new SplittableRandom(configuration.seed()),
                                cold),
                        new IdempotencyCache(
                                memoryLimitBytes() / CACHE_MEMORY_PART,
                                configuration
                                        .settings()
                                        .duration("familyInfo.freshNs", Duration.ZERO)),
                        age);
        session = Optional.of(started);
        started.start(configuration.operations(), age);
        if (shutdown.isStarted()) {
            started.onShutdownNotice(Duration.ZERO);
        }
        for (RequestAttempt attempt : startupRequests.takeWaiting()) {
            if (!attempt.answered()) {
                started.onRequestRead(attempt);
            }
        }
    }
}
