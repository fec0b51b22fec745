package ochretiller.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.service.FleetService;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;
import ochretiller.metrics.Metrics;
import ochretiller.model.Operation;
import ochretiller.operator.OperatorConfig;
import ochretiller.uwsgi.UwsgiFrontend;
import ochretiller.workers.UwsgiRunBackend;
import ochretiller.workers.WorkerPoolConfig;

/**
 * Builds the parts of a server that its operators have switched on. This class, and with it those
 * parts, is loaded only if there is an operators' file.
 */
final class OperatorWiring {
    /** The clock may go on so far between the computation of a record's expiry and its writing. */
    private static final Duration RECORD_LIFE_SLACK = Duration.ofSeconds(2);

    private static final Duration MIN_RECORD_LIFE = Duration.ofMillis(20);
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
     * Builds the parts. Nothing of them runs yet.
     *
     * @throws IOException if a file or socket of a part cannot be opened
     */
    OperatorFeatures wire() throws IOException {
        Optional<UwsgiFrontend> uwsgi = operator.uwsgi().map(this::uwsgiFrontend);
        Optional<ConfiguredWorkerPools> pools = workerPools();
        Optional<DurableIdempotency> durable = durableIdempotency();
        AuditTrail audit = auditTrail();
        Optional<FleetService> fleet = fleet(pools, durable, audit);
        RolloutParticipation rollout = rollout(fleet);
        if (operator.audit().isPresent() || rollout instanceof FleetRollout) {
            resources
                    .connections()
                    .ends((attempt, kind) -> recordAnswer(attempt, kind, audit, rollout));
        }
        return new OperatorFeatures(
                durable.<IdempotencyStore>map(store -> store).orElseGet(this::volatileIdempotency),
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
                uwsgi.callerVar(),
                uwsgi.timeVar(),
                clock::toLoopTime,
                resources.health()::good,
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
        return Optional.of(new ConfiguredWorkerPools(backend, settings.operatorReload()));
    }

    private Optional<DurableIdempotency> durableIdempotency() throws IOException {
        if (operator.remember().isEmpty()) {
            return Optional.empty();
        }
        StoreSetup setup =
                new StoreSetup(
                        operator.remember().get(),
                        operator.fleet().map(FleetSettings::copies),
                        settings.storage().orElseThrow(),
                        recordLife().plus(RECORD_LIFE_SLACK));
        SplittableRandom random = new SplittableRandom(configuration.seed()).split();
        return Optional.of(new DurableIdempotency(resources.scheduler(), setup, random, metrics));
    }

    private IdempotencyStore volatileIdempotency() {
        return new VolatileIdempotency(resources.scheduler());
    }

    /**
     * The longest window of an operation and its client timeout, once for each end: no record is of
     * use for longer.
     */
    private Duration recordLife() {
        Duration longest = null;
        for (Operation operation : configuration.operations().values()) {
            Duration life =
                    operation.deduplicationWindow().plus(operation.clientTimeout().multipliedBy(2));
            if (operation.isKeyed() && (longest == null || life.compareTo(longest) > 0)) {
                longest = life;
            }
        }
        return longest == null ? MIN_RECORD_LIFE : longest;
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

    private Optional<FleetService> fleet(
            Optional<ConfiguredWorkerPools> pools,
            Optional<DurableIdempotency> durable,
            AuditTrail audit)
            throws IOException {
        if (operator.fleet().isEmpty()) {
            return Optional.empty();
        }
        FleetSettings fleetSettings = operator.fleet().get();
        OperatorConfigResolver.checkFleet(fleetSettings, configuration);
        FleetService fleet =
                new FleetService(
                        resources.scheduler(),
                        resources.network(),
                        fleetSettings,
                        configuration.name(),
                        build(),
                        servingAddress(),
                        new SplittableRandom(configuration.seed() + 2),
                        metrics,
                        recordLife(),
                        durable.map(DurableIdempotency::store).orElse(null),
                        (member, present) -> {
                            if (pools.isPresent() && member.serviceAddress() != null) {
                                pools.get()
                                        .onFleetMemberSeen(
                                                member.serviceAddress().toString(), present);
                            }
                        },
                        new PoolVersionApplier(
                                settings, configs -> reconfigure(pools, configs), audit),
                        OperatorWiring::shutDown);
        if (fleet.copies() != null && durable.isPresent()) {
            fleet.copies().remembers(durable.get().previousRuns());
        }
        return Optional.of(fleet);
    }

    private static String build() {
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

    /**
     * Posted so that a version is adopted as a whole, between two pieces of work of the event loop.
     */
    private void reconfigure(
            Optional<ConfiguredWorkerPools> pools, List<WorkerPoolConfig> configs) {
        pools.ifPresent(present -> resources.scheduler().post(() -> present.reconfigure(configs)));
    }

    /** Ends the process as a signal would: the shutdown hook drains the server. */
    private static void shutDown() {
        new Thread(() -> System.exit(0), "leave").start();
    }

    private RunClaims claims(Optional<FleetService> fleet) {
        if (fleet.isEmpty() || fleet.get().copies() == null) {
            return new UnsharedRunClaims();
        }
        return new FleetRunClaims(
                resources.scheduler(), resources.connections(), fleet.get().copies());
    }

    private RolloutParticipation rollout(Optional<FleetService> fleet) {
        if (fleet.isEmpty() || fleet.get().versions() == null) {
            return new NoRollout();
        }
        return new FleetRollout(resources.scheduler(), fleet.get().versions());
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
