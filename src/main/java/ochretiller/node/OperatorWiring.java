package ochretiller.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.service.FleetCallbacks;
import ochretiller.fleet.service.FleetRuntime;
import ochretiller.fleet.service.FleetService;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.fleet.service.LocalServer;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;
import ochretiller.metrics.Metrics;
import ochretiller.model.Operation;
import ochretiller.operator.OperatorConfig;
import ochretiller.uwsgi.UwsgiFrontend;
import ochretiller.workers.UwsgiRunBackend;
import ochretiller.workers.WorkerPoolConfig;

/**
 * Creates the optional components that the operators' file enables. This class and those components
 * are loaded only if there is an operators' file.
 */
final class OperatorWiring {
    /** Longest time between computing a record's expiry and writing the record. */
    private static final Duration RECORD_LIFETIME_SLACK = Duration.ofSeconds(2);

    private static final Duration DEFAULT_RECORD_LIFETIME = Duration.ofMillis(20);
    private static final String UNPACKAGED = "unpackaged";

    private final NodeSettings settings;
    private final ServerConfiguration configuration;
    private final OperatorConfig operator;
    private final ServerResources resources;
    private final WallClock clock;
    private final Metrics metrics;

    OperatorWiring(
            NodeSettings settings, ServerResources resources, WallClock clock, Metrics metrics) {
        this.settings = settings;
        this.configuration = settings.configuration();
        this.operator = settings.operator();
        this.resources = resources;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Creates the components without starting them.
     *
     * @throws IOException if a file or socket of a component cannot be opened
     */
    OperatorFeatures wire() throws IOException {
        Optional<UwsgiFrontend> uwsgi = operator.uwsgi().map(this::uwsgiFrontend);
        Optional<ConfiguredWorkerPools> pools = workerPools();
        Optional<DurableIdempotency> durableStore = durableIdempotency();
        AuditTrail audit = auditTrail();
        Optional<FleetService> fleet = fleet(pools, durableStore, audit);
        RolloutParticipation rollout = rollout(fleet);
        if (operator.audit().isPresent() || rollout instanceof FleetRollout) {
            resources
                    .connections()
                    .setAnswerListener(
                            (attempt, kind) -> recordAnswer(attempt, kind, audit, rollout));
        }
        return new OperatorFeatures(
                durableStore
                        .<IdempotencyStore>map(store -> store)
                        .orElseGet(this::volatileIdempotency),
                claims(fleet),
                rollout,
                audit,
                pools.<WorkerPools>map(configured -> configured).orElseGet(NoWorkerPools::new),
                fleet.<FleetMembership>map(JoinedFleet::new).orElseGet(NoFleet::new),
                uwsgi);
    }

    private UwsgiFrontend uwsgiFrontend(OperatorConfig.Uwsgi uwsgi) {
        return new UwsgiFrontend(
                resources.connections(),
                resources.scheduler(),
                OperatorConfigResolver.uwsgiRoutes(operator, configuration),
                uwsgi.clientVariable(),
                uwsgi.timestampVariable(),
                clock::toLoopTime,
                resources.health()::isHealthy,
                new SplittableRandom(configuration.seed()).split());
    }

    private Optional<ConfiguredWorkerPools> workerPools() {
        if (operator.pools().isEmpty()) {
            return Optional.empty();
        }
        UwsgiRunBackend backend =
                new UwsgiRunBackend(
                        resources.scheduler(),
                        resources.network(),
                        OperatorConfigResolver.workerPoolConfigs(operator, configuration),
                        new SplittableRandom(configuration.seed() + 1).split(),
                        metrics);
        return Optional.of(new ConfiguredWorkerPools(backend, settings.operatorConfigSupplier()));
    }

    private Optional<DurableIdempotency> durableIdempotency() throws IOException {
        if (operator.durability().isEmpty()) {
            return Optional.empty();
        }
        StoreSetup setup =
                new StoreSetup(
                        operator.durability().get(),
                        operator.fleet().map(FleetSettings::replication),
                        settings.storage().orElseThrow(),
                        recordLifetime().plus(RECORD_LIFETIME_SLACK));
        SplittableRandom random = new SplittableRandom(configuration.seed()).split();
        return Optional.of(new DurableIdempotency(resources.scheduler(), setup, random, metrics));
    }

    private IdempotencyStore volatileIdempotency() {
        return new VolatileIdempotency(resources.scheduler());
    }

    /**
     * Returns the longest time for which a record can be needed: the maximum over all keyed
     * operations of the deduplication window plus one client timeout at each end.
     */
    private Duration recordLifetime() {
        Duration longest = null;
        for (Operation operation : configuration.operations().values()) {
            Duration lifetime =
                    operation.deduplicationWindow().plus(operation.clientTimeout().multipliedBy(2));
            if (operation.isKeyed() && (longest == null || lifetime.compareTo(longest) > 0)) {
                longest = lifetime;
            }
        }
        return longest == null ? DEFAULT_RECORD_LIFETIME : longest;
    }

    private AuditTrail auditTrail() throws IOException {
        if (operator.audit().isEmpty()) {
            return new NoAuditTrail();
        }
        return new AuditRecorder(
                resources.scheduler(),
                operator.audit().get(),
                configuration.name(),
                clock::unixMillis,
                metrics);
    }

    private FleetCallbacks fleetCallbacks(Optional<ConfiguredWorkerPools> pools, AuditTrail audit) {
        return new FleetCallbacks(
                (member, isPresent) -> {
                    if (pools.isPresent() && member.serviceAddress() != null) {
                        pools.get()
                                .onFleetMemberChanged(
                                        member.serviceAddress().toString(), isPresent);
                    }
                },
                new PoolVersionApplier(settings, configs -> reconfigure(pools, configs), audit),
                OperatorWiring::shutDown);
    }

    private Optional<FleetService> fleet(
            Optional<ConfiguredWorkerPools> pools,
            Optional<DurableIdempotency> durableStore,
            AuditTrail audit)
            throws IOException {
        if (operator.fleet().isEmpty()) {
            return Optional.empty();
        }
        FleetSettings fleetSettings = operator.fleet().get();
        OperatorConfigResolver.checkFleet(fleetSettings, configuration);
        FleetService fleet =
                new FleetService(
                        new FleetRuntime(
                                resources.scheduler(),
                                resources.network(),
                                new SplittableRandom(configuration.seed() + 2),
                                metrics),
                        fleetSettings,
                        new LocalServer(configuration.name(), buildVersion(), servingAddress()),
                        recordLifetime(),
                        durableStore.map(DurableIdempotency::store),
                        fleetCallbacks(pools, audit));
        if (fleet.replication() != null && durableStore.isPresent()) {
            fleet.replication().setPreviousRunLookup(durableStore.get().previousRuns());
        }
        return Optional.of(fleet);
    }

    private static String buildVersion() {
        String version = ServerNode.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKAGED : version;
    }

    private PeerAddress servingAddress() {
        InetSocketAddress address =
                operator.uwsgi()
                        .map(OperatorConfig.Uwsgi::listen)
                        .orElse(configuration.listenAddress());
        return new PeerAddress(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Posts the change, so that no event loop task sees a partly applied version. */
    private void reconfigure(
            Optional<ConfiguredWorkerPools> pools, List<WorkerPoolConfig> configs) {
        pools.ifPresent(target -> resources.scheduler().post(() -> target.reconfigure(configs)));
    }

    /** Exits the process as SIGTERM would; the shutdown hook drains the server. */
    private static void shutDown() {
        new Thread(() -> System.exit(0), "leave").start();
    }

    private RunClaims claims(Optional<FleetService> fleet) {
        if (fleet.isEmpty() || fleet.get().replication() == null) {
            return new UnsharedRunClaims();
        }
        return new FleetRunClaims(
                resources.scheduler(), resources.connections(), fleet.get().replication());
    }

    private RolloutParticipation rollout(Optional<FleetService> fleet) {
        if (fleet.isEmpty() || fleet.get().rollout() == null) {
            return new NoRollout();
        }
        return new FleetRollout(resources.scheduler(), fleet.get().rollout());
    }

    private static void recordAnswer(
            RequestAttempt attempt,
            AnswerKind kind,
            AuditTrail audit,
            RolloutParticipation rollout) {
        audit.recordAnswer(attempt, kind);
        rollout.recordAnswer(attempt, kind);
    }
}
