package ochretiller.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import ochretiller.admission.AdmissionController;
import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.service.FleetService;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.jsonrpc.HealthChecks;
import ochretiller.jsonrpc.JsonRpcFrontend;
import ochretiller.metrics.Metrics;
import ochretiller.metrics.MetricsFile;
import ochretiller.model.Operation;
import ochretiller.net.Network;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.paths.PathPattern;
import ochretiller.processor.ProcessorClient;
import ochretiller.records.RecordsClient;
import ochretiller.registry.RegistryReporter;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;
import ochretiller.store.StorageDirectory;
import ochretiller.uwsgi.Route;
import ochretiller.uwsgi.UwsgiFrontend;
import ochretiller.workers.UwsgiRunBackend;
import ochretiller.workers.WorkerPoolConfig;

/** One server from its start through its drain to its stop. */
public final class ServerNode {
    private static final Logger LOG = Logger.getLogger(ServerNode.class.getName());

    /** Time to write out the last answers and end before the kill. */
    private static final Duration ENDING = Duration.ofMillis(150);

    /**
     * A request may cross the word to leave for 50 ms; twice that is waited before connections are
     * closed.
     */
    private static final Duration CROSSING = Duration.ofMillis(100);

    /** Time for the process to end in once its threads have nothing to do any more. */
    private static final Duration EXIT = Duration.ofMillis(70);

    /** Time for the last of what runs to be answered, and for what crossed to be turned away. */
    private static final Duration CLOSING = CROSSING.plusMillis(100);

    private static final Duration LOOK = Duration.ofMillis(20);

    /** Room for what the clock goes on between a mark's reckoning and its writing. */
    private static final Duration SLACK = Duration.ofSeconds(2);

    /** The last moment for one that waits for the processor, before it is due. */
    private static final Duration LEAD = Duration.ofMillis(120);

    /** Part of the memory limit that kept results may take. */
    private static final int KEYS_PART = 8;

    /**
     * Invocations of each operation before the first real one: enough that what each passes through
     * is compiled.
     */
    private static final int WARM_UP = 250;

    /** Part of the descriptors that connections to workers may take; callers have half of them. */
    private static final int POOLS_PART = 3;

    /** Part of the descriptors that calls may take. */
    private static final int CALLS_PART = 8;

    private final Path file;
    private final ServerConfiguration configuration;
    private final EventLoop loop = new EventLoop();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Network network;
    private final ProcessorClient link;
    private final RecordsClient records;
    private final RegistryReporter roster;
    private final HealthChecks health;
    private final ClientConnections callers;
    private final JsonRpcFrontend gateway;

    /** Null where nobody speaks uwsgi. */
    private final UwsgiFrontend uwsgi;

    private final OperatorConfig operator;
    private final Supplier<OperatorConfig> operatorNow;

    /** Null where the processor carries out all runs. */
    private final UwsgiRunBackend workers;

    private final Metrics metrics = new Metrics();
    private final DurableIdempotency recall;

    /** Null where this server takes part in no fleet. */
    private final FleetService fleet;

    /** Repeats of what a former process has left, read before the processor was there. */
    private final List<RequestAttempt> early = new ArrayList<>();

    /** Null where nothing is kept of what was acted on. */
    private final AuditRecorder auditor;

    private ServerActionsAdapter host;
    private boolean leaving;

    /** A server whose operators' file does not change. */
    public ServerNode(Path file, OperatorConfig operator, StorageDirectory disk)
            throws IOException {
        this(file, operator, () -> operator, disk);
    }

    /**
     * A server that does not listen yet.
     *
     * @param operatorNow reads the operators' file again
     * @param disk where results are remembered, if the operators ask for it
     */
    public ServerNode(
            Path file,
            OperatorConfig operator,
            Supplier<OperatorConfig> operatorNow,
            StorageDirectory disk)
            throws IOException {
        this.file = file;
        this.operator = operator;
        this.operatorNow = operatorNow;
        this.configuration = ServerConfiguration.read(file);
        configuration.checkJvmSize(Integer.getInteger("ochretiller.sizedForMb"));
        network = new Network(loop, memory());
        link =
                new ProcessorClient(
                        loop,
                        network,
                        configuration.processorAddress(),
                        List.of(configuration.settings().text("familyInfo.meters").split(",")),
                        this::onProcessorUp,
                        (rid, body) -> host.onCallRequested(rid, body));
        records =
                new RecordsClient(
                        loop,
                        network,
                        configuration.recordsAddress(),
                        configuration.maxDescriptors() / CALLS_PART);
        roster = new RegistryReporter(loop, configuration.registryAddress(), configuration.name());
        health = new HealthChecks(link::trial);
        callers =
                new ClientConnections(
                        loop,
                        configuration.maxDescriptors() / 2,
                        patience(),
                        configuration.settings().duration("familyInfo.idleNs", Duration.ZERO),
                        this::onRequestRead,
                        inv -> {
                            if (host != null) {
                                host.onClientGone(inv);
                            }
                        });
        gateway =
                new JsonRpcFrontend(callers, configuration.operations(), health, this::sinceStart);
        uwsgi =
                operator.uwsgi()
                        .map(
                                told ->
                                        new UwsgiFrontend(
                                                callers,
                                                loop,
                                                uwsgiRoutes(operator, configuration),
                                                told.callerVar(),
                                                told.timeVar(),
                                                this::sinceStart,
                                                health::good,
                                                new SplittableRandom(configuration.seed()).split()))
                        .orElse(null);
        workers =
                operator.pools().isEmpty()
                        ? null
                        : new UwsgiRunBackend(
                                loop,
                                network,
                                workerPoolConfigs(operator, configuration),
                                new SplittableRandom(configuration.seed() + 1).split(),
                                metrics);
        if (operator.remember().isPresent()) {
            Duration longest = longest();
            recall =
                    new DurableIdempotency(
                            loop,
                            operator.remember().get(),
                            operator.fleet().map(FleetSettings::copies).orElse(null),
                            disk,
                            longest.plus(SLACK),
                            new SplittableRandom(configuration.seed()).split(),
                            metrics);
        } else {
            recall = null;
        }
        auditor =
                operator.audit().isEmpty()
                        ? null
                        : new AuditRecorder(
                                loop,
                                operator.audit().get(),
                                configuration.name(),
                                this::unixMs,
                                metrics);
        fleet = operator.fleet().isEmpty() ? null : fleet(operator.fleet().get());
        if (fleet != null && fleet.copies() != null && recall != null) {
            fleet.copies().remembers(recall);
        }
        if (auditor != null || fleet != null && fleet.versions() != null) {
            callers.ends(this::onAnswered);
        }
    }

    private Duration patience() {
        return configuration.operations().values().stream()
                .map(Operation::clientTimeout)
                .max(Duration::compareTo)
                .orElse(LOOK);
    }

    /**
     * No mark lives longer: the longest window of an operation and its client timeout, once for
     * each end.
     */
    private Duration longest() {
        return configuration.operations().values().stream()
                .filter(Operation::isKeyed)
                .map(each -> each.deduplicationWindow().plus(each.clientTimeout().multipliedBy(2)))
                .max(Duration::compareTo)
                .orElse(LOOK);
    }

    private FleetService fleet(FleetSettings told) throws IOException {
        checkReplication(told, configuration);
        String build = ServerNode.class.getPackage().getImplementationVersion();
        InetSocketAddress at =
                operator.uwsgi()
                        .map(OperatorConfig.Uwsgi::listen)
                        .orElse(configuration.listenAddress());
        return new FleetService(
                loop,
                network,
                told,
                configuration.name(),
                build == null ? "unpackaged" : build,
                new PeerAddress(at.getAddress().getHostAddress(), at.getPort()),
                new SplittableRandom(configuration.seed() + 2),
                metrics,
                longest(),
                recall == null ? null : recall.store(),
                (member, there) -> {
                    if (workers != null && member.serviceAddress() != null) {
                        workers.seen(member.serviceAddress().toString(), there);
                    }
                },
                new Acting(),
                () ->
                        new Thread(() -> System.exit(0), "leave")
                                .start()); // the hook that a signal would run drains
    }

    /** Holds what the operators say of copies against the server's name and operations. */
    public static void checkReplication(FleetSettings told, ServerConfiguration configuration) {
        if (told.copies() == null) {
            return;
        }
        if (told.copies().voters().contains(configuration.name())
                && told.copies().voterFile() == null) {
            throw new MalformedException(
                    "fleet: " + configuration.name() + " is a voter and needs voter_file");
        }
        for (String operation : told.copies().modes().byOperation().keySet()) {
            if (!configuration.operations().containsKey(operation)) {
                throw new MalformedException("fleet: modes: no operation " + operation);
            }
        }
    }

    /**
     * Holds the operators' routes against the operations; a route that cannot be is told, one that
     * is odd is logged.
     */
    public static List<Route> uwsgiRoutes(
            OperatorConfig operator, ServerConfiguration configuration) {
        Map<String, Operation> operations = configuration.operations();
        List<Route> routes = new ArrayList<>();
        for (OperatorConfig.Route told :
                operator.uwsgi().map(OperatorConfig.Uwsgi::routes).orElse(List.of())) {
            Operation operation = operations.get(told.operation());
            if (operation == null) {
                throw new MalformedException(
                        "route " + told.path() + ": no operation " + told.operation());
            }
            routes.add(new Route(told.method(), PathPattern.of(told.path()), operation, told.kb()));
        }
        Route.check(routes).forEach(LOG::warning);
        return routes;
    }

    /** Holds the operators' pools against the operations and the descriptors. */
    public static List<WorkerPoolConfig> workerPoolConfigs(
            OperatorConfig operator, ServerConfiguration configuration) {
        Map<String, Operation> operations = configuration.operations();
        List<WorkerPoolConfig> plans = new ArrayList<>();
        long connections = 0;
        for (OperatorConfig.Workers told : operator.pools()) {
            List<WorkerPoolConfig.Target> targets = new ArrayList<>();
            for (OperatorConfig.Run run : told.runs()) {
                if (!operations.containsKey(run.operation())) {
                    throw new MalformedException(
                            "pool " + told.name() + ": no operation " + run.operation());
                }
                targets.add(new WorkerPoolConfig.Target(run.operation(), run.method(), run.path()));
            }
            WorkerPoolConfig plan =
                    new WorkerPoolConfig(
                            told.name(),
                            told.settings(),
                            told.late(),
                            told.addresses(),
                            List.copyOf(targets));
            connections += plan.connections();
            plans.add(plan);
        }
        if (connections > configuration.maxDescriptors() / POOLS_PART) {
            throw new MalformedException(
                    "the pools may open "
                            + connections
                            + " connections, over 1/"
                            + POOLS_PART
                            + " of the "
                            + configuration.maxDescriptors()
                            + " descriptors: lower most_in_flight");
        }
        return plans;
    }

    /** Bytes that the server may take. */
    private long memory() {
        return configuration.memoryLimitMb() * 1024L * 1024L;
    }

    /** All that is to be done before anything is listened for. */
    public void prepare() throws IOException {
        if (recall != null) {
            recall.start();
        }
        if (auditor != null) {
            auditor.start();
        }
        operator.metrics()
                .ifPresent(
                        figures -> new MetricsFile(metrics, figures.file()).start(figures.every()));
        AdmissionController unused =
                Settings.admissionController(
                        configuration.settings(),
                        new SplittableRandom(configuration.seed()),
                        false);
        new WarmUp(unused).simulate(List.copyOf(configuration.operations().values()), WARM_UP);
    }

    /** Listens; a failure to do so is the caller's to tell. */
    public void listen() throws IOException {
        network.listen("gateway", configuration.listenAddress(), gateway::accepted);
        if (uwsgi != null) {
            network.listen("uwsgi", operator.uwsgi().orElseThrow().listen(), uwsgi::accepted);
        }
        link.connect();
        if (fleet != null) {
            fleet.start();
        }
        loop.post(roster::start);
    }

    /**
     * The file has changed, from any thread: each part moves to its new address by itself. All else
     * stays as it was.
     */
    public void reload() {
        // Read on the caller's thread: a file and a schema are not the loop's to wait for.
        ServerConfiguration next;
        List<WorkerPoolConfig> plans;
        try {
            next = ServerConfiguration.read(file);
            plans = workers == null ? List.of() : workerPoolConfigs(operatorNow.get(), next);
            if (fleet != null) {
                fleet.reload();
            }
        } catch (MalformedException e) {
            LOG.warning("stays with its configuration: " + e.getMessage());
            return;
        }
        loop.post(
                () -> {
                    if (workers != null) {
                        workers.become(plans);
                    }
                    LOG.info("takes the addresses of its configuration again");
                    link.move(next.processorAddress());
                    records.move(next.recordsAddress());
                    roster.move(next.registryAddress());
                });
    }

    /** Serves until the drain is over. */
    public void run() {
        LOG.info(() -> configuration.name() + " listens on " + configuration.listenAddress());
        loop.run(network::flush);
        ended.countDown();
    }

    /**
     * The notice to leave, from any thread; a second one changes nothing. Returns once the drain is
     * over.
     */
    public void drain() throws InterruptedException {
        loop.post(this::startDrain);
        ended.await(configuration.shutdownTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }

    /** The processor is there: the decisions begin, on a clock that started with it. */
    private void onProcessorUp(boolean cold, Duration age) {
        if (host != null) {
            return;
        }
        LOG.info(
                () ->
                        "the processor is up, "
                                + (cold ? "cold" : "warm")
                                + ", started "
                                + age.toMillis()
                                + " ms ago");
        AdmissionController choice =
                Settings.admissionController(
                        configuration.settings(), new SplittableRandom(configuration.seed()), cold);
        IdempotencyCache keys =
                new IdempotencyCache(
                        memory() / KEYS_PART,
                        configuration.settings().duration("familyInfo.freshNs", Duration.ZERO));
        host =
                new ServerActionsAdapter(
                        loop,
                        age.minus(loop.now()),
                        choice,
                        callers,
                        health,
                        keys,
                        link,
                        workers,
                        records,
                        recall,
                        fleet == null ? null : fleet.copies(),
                        fleet == null ? null : fleet.versions(),
                        auditor == null ? inv -> {} : auditor::recordRunStarted);
        host.start();
        if (recall != null) {
            host.restorePreviousRuns(configuration.operations(), age);
        }
        if (leaving) {
            host.onShutdownNotice(Duration.ZERO);
        }
        List<RequestAttempt> waited = List.copyOf(early);
        early.clear();
        for (RequestAttempt inv : waited) {
            if (!inv.answered()) {
                host.onRequestRead(inv);
            }
        }
    }

    /**
     * A Unix time on the schedule; a clock that was set back makes nothing come from the future.
     */
    private Duration sinceStart(long unixMillis) {
        return loop.now().minusMillis(Math.max(0, unixMs() - unixMillis));
    }

    private long unixMs() {
        return System.currentTimeMillis() + operator.drill().clock().toMillis();
    }

    private void onRequestRead(RequestAttempt inv) {
        if (fleet != null && fleet.versions() != null) {
            inv.bind(fleet.versions().acting());
        }
        IdempotencyRecord mark = host != null || recall == null ? null : recall.restored(inv.token);
        if (host != null) {
            host.onRequestRead(inv);
        } else if (mark == null) {
            callers.throttle(inv, Duration.ZERO, false); // without a processor nothing can have run
        } else {
            repeatBefore(inv, mark);
        }
    }

    /** What became of it counts for the version that it was read under. */
    private void onAnswered(RequestAttempt inv, AnswerKind how) {
        if (auditor != null) {
            auditor.recordAnswer(inv, how);
        }
        if (fleet == null || fleet.versions() == null) {
            return;
        }
        boolean good = how == AnswerKind.SUCCEEDED || how == AnswerKind.REPLAYED;
        boolean late =
                good
                        && loop.now().minus(inv.arrived).compareTo(inv.operation.latencyObjective())
                                > 0;
        double value = inv.operation.billedValue();
        fleet.versions()
                .count(
                        inv.version(),
                        new VersionCounters(
                                1,
                                how == AnswerKind.THROTTLED ? 1 : 0,
                                how == AnswerKind.ERRORED ? 1 : 0,
                                late ? 1 : 0,
                                !good ? 0 : late ? value * inv.operation.lateValueShare() : value,
                                value));
    }

    /** What acts on versions here: the pools. */
    private final class Acting implements RolloutService.Acts {
        private List<WorkerPoolConfig> plans(byte[] version) {
            OperatorConfig told =
                    version == null
                            ? operatorNow.get()
                            : operator.with(
                                    OperatorConfigReader.version(
                                            new String(version, StandardCharsets.UTF_8),
                                            "the version"));
            List<WorkerPoolConfig> plans = ServerNode.workerPoolConfigs(told, configuration);
            Set<String> here =
                    operator.pools().stream()
                            .map(OperatorConfig.Workers::name)
                            .collect(Collectors.toSet());
            Set<String> there =
                    plans.stream().map(WorkerPoolConfig::name).collect(Collectors.toSet());
            if (!here.equals(there)) {
                throw new MalformedException(
                        "it has the pools " + there + ", and this server was started with " + here);
            }
            return plans;
        }

        @Override
        public String check(byte[] version) {
            try {
                plans(version);
                return null;
            } catch (MalformedException e) {
                return e.getMessage();
            }
        }

        @Override
        public String become(byte[] version) {
            List<WorkerPoolConfig> plans;
            try {
                plans = plans(version);
            } catch (MalformedException e) {
                return e.getMessage();
            }
            // In the next gathering: it is acted on as a whole between two.
            if (workers != null) {
                loop.post(() -> workers.become(plans));
            }
            return null;
        }

        @Override
        public void told(
                RolloutService.What what, RolloutState.PublishedVersion version, String text) {
            if (auditor != null) {
                auditor.recordRolloutEvent(what, version.number(), version.hash(), text);
            }
        }

        @Override
        public ChainHead audited() {
            return auditor == null ? ChainHead.EMPTY : auditor.chainHead();
        }
    }

    /**
     * A repeat of what a former process has run, before the processor is there: it is never
     * throttled.
     */
    private void repeatBefore(RequestAttempt inv, IdempotencyRecord mark) {
        if (!mark.operation().equals(inv.operation.name())
                || !mark.hasBodyDigest(IdempotencyCache.bodyDigest(inv.body))) {
            callers.fail(inv, FailureReason.OTHER_BODY);
        } else if (mark.progress() == InvocationProgress.ENDED_WITHOUT_RESULT) {
            callers.fail(inv, FailureReason.FAILED);
        } else if (mark.progress() == InvocationProgress.SUCCEEDED) {
            recall.readResult(
                    inv.token,
                    result -> {
                        if (result == null) {
                            callers.fail(inv, FailureReason.NO_RESULT);
                        } else {
                            callers.succeed(inv, result, true);
                        }
                        callers.forget(inv);
                    });
            return;
        } else {
            early.add(inv);
            Duration due =
                    inv.arrived.plus(inv.operation.clientTimeout()).minus(LEAD).minus(loop.now());
            loop.after(
                    due.isNegative() ? Duration.ZERO : due,
                    () -> {
                        if (!early.remove(inv)) {
                            return;
                        }
                        callers.fail(inv, FailureReason.UNKNOWN_END);
                        callers.forget(inv);
                    });
            return;
        }
        callers.forget(inv);
    }

    private void startDrain() {
        if (leaving) {
            return;
        }
        leaving = true;
        LOG.info("leaves");
        Duration last = configuration.shutdownTimeout().minus(ENDING);
        roster.leave();
        if (fleet != null) {
            fleet.leave();
        }
        health.set(false, true);
        if (host != null) {
            host.onShutdownNotice(last);
        }
        // Gateways learn seconds late that it leaves. What it turns away behind the grace goes on
        // to other servers at once,
        // what finds no listener does not: so the server stays until just before the kill.
        Duration closing = last.minus(CLOSING);
        loop.after(
                closing.isNegative() ? Duration.ZERO : closing,
                () -> {
                    network.closeListeners();
                    callers.leave();
                    Duration until = loop.now().plus(last.minus(closing));
                    loop.after(CROSSING, () -> endWhenAnswered(until));
                });
    }

    private void endWhenAnswered(Duration until) {
        if (callers.openTries() > 0 && loop.now().compareTo(until) < 0) {
            loop.after(LOOK, () -> endWhenAnswered(until));
            return;
        }
        callers.close();
        link.close();
        records.close();
        if (workers != null) {
            workers.close();
        }
        if (recall != null) {
            recall.close();
        }
        if (auditor != null) {
            auditor.close();
        }
        if (fleet != null) {
            fleet.close();
        }
        network.flush();
        Duration kill = until.plus(ENDING).minus(EXIT);
        loop.after(LOOK, () -> endWhenRead(kill));
    }

    /**
     * Guards against last answers that are cut off: callers have them once they have ended their
     * side.
     */
    private void endWhenRead(Duration until) {
        if (callers.connections() > 0 && loop.now().compareTo(until) < 0) {
            loop.after(LOOK, () -> endWhenRead(until));
            return;
        }
        callers.drop();
        // In the next gathering: each connection leaves its line before.
        loop.after(
                LOOK,
                () -> {
                    LOG.info("ends");
                    network.stop();
                    loop.stop();
                });
    }
}
