package ochretiller.fleet.service;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.logging.Logger;
import ochretiller.fleet.membership.BootstrapPeers;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipChange;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.membership.OutboundPacket;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.AdminEndpoint;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.PeerSocket;
import ochretiller.fleet.transport.ReceivedPacket;
import ochretiller.net.Scheduler;
import ochretiller.store.Store;

/**
 * Runs a server as a member of its fleet: drives the membership protocol, dispatches messages to
 * replication and rollout, and handles admin commands.
 *
 * <p>Methods run on the event loop unless stated otherwise.
 */
public final class FleetService {
    private static final Logger LOG = Logger.getLogger(FleetService.class.getName());

    /** Interval at which the gauges and the file of known peers are updated. */
    private static final Duration METRICS_INTERVAL = Duration.ofSeconds(1);

    private static final int FIRST_STATE_VERSION = 1;

    private final Scheduler scheduler;
    private final FleetSettings settings;
    private final FleetCallbacks callbacks;
    private final PacketCodec codec;
    private final PeerSocket socket;
    private final MembershipProtocol membership;
    private final PacketSender sender;
    private final Optional<PeersFile> peersFile;
    private final BootstrapPeers bootstrapPeers;
    private final Optional<ReplicationService> replication;
    private final Optional<RolloutService> rollout;
    private final FleetMetrics metrics;
    private final MembershipLog membershipLog = new MembershipLog();
    private boolean isClosed;

    /**
     * Creates a service that listens but does not join the fleet yet, so that an address conflict
     * is reported before the server accepts any request.
     *
     * @param maxWindow longest idempotency window, including the client's timeouts
     * @param store store for replicated entries, not started yet; empty to use memory only
     * @throws IOException if an address cannot be bound
     */
    public FleetService(
            FleetRuntime runtime,
            FleetSettings settings,
            LocalServer server,
            Duration maxWindow,
            Optional<Store> store,
            FleetCallbacks callbacks)
            throws IOException {
        this.settings = settings;
        this.callbacks = callbacks;
        scheduler = runtime.scheduler();
        codec = new PacketCodec(settings.fleetName(), FleetKeys.read(settings.keyFile()));
        socket = new PeerSocket(scheduler, codec, settings.listenAddress(), this::receive);
        Member self = createSelf(settings, server);
        membership =
                new MembershipProtocol(
                        self,
                        settings.seeds(),
                        settings.timing(),
                        runtime.random(),
                        scheduler.now());
        peersFile = Optional.ofNullable(settings.peersFile()).map(PeersFile::new);
        List<PeerAddress> knownPeers = peersFile.map(PeersFile::read).orElse(List.of());
        bootstrapPeers = new BootstrapPeers(self.address(), knownPeers);
        membership.setBootstrapPeers(knownPeers);
        sender = new PacketSender(membership, codec, socket);
        FleetContext context =
                new FleetContext(
                        scheduler,
                        server.name(),
                        runtime.random(),
                        runtime.metrics(),
                        sender,
                        membership::snapshot);
        Optional<ReplicationSettings> replicationSettings =
                Optional.ofNullable(settings.replication());
        replication =
                replicationSettings.map(
                        present ->
                                new ReplicationService(
                                        context, present, self.incarnation(), maxWindow, store));
        rollout = replicationSettings.flatMap(present -> createRollout(context, present, server));
        rollout.ifPresent(service -> replication.orElseThrow().attachRollout(service));
        listenForCommands(runtime, server);
        metrics = new FleetMetrics(runtime.metrics(), membership, socket);
    }

    /** The random incarnation differs at each start, even if the configuration is the same. */
    private static Member createSelf(FleetSettings settings, LocalServer server) {
        long incarnation = new SecureRandom().nextLong() | 1;
        PeerAddress listenAddress =
                new PeerAddress(
                        settings.listenAddress().getAddress().getHostAddress(),
                        settings.listenAddress().getPort());
        return new Member(
                new MemberId(server.name(), incarnation),
                Optional.ofNullable(settings.advertisedAddress()).orElse(listenAddress),
                settings.zone(),
                server.build(),
                Optional.ofNullable(settings.serviceAddress())
                        .or(() -> Optional.of(server.serviceAddress())),
                FIRST_STATE_VERSION,
                MemberState.JOINING);
    }

    private Optional<RolloutService> createRollout(
            FleetContext context, ReplicationSettings replicationSettings, LocalServer server) {
        return Optional.ofNullable(replicationSettings.rollout())
                .map(
                        rolloutSettings ->
                                new RolloutService(
                                        context,
                                        rolloutSettings,
                                        server.build(),
                                        replicationSettings.acceptors(),
                                        callbacks.versionActivator()));
    }

    private void listenForCommands(FleetRuntime runtime, LocalServer server) throws IOException {
        AdminCommands commands =
                new AdminCommands()
                        .withMembership(
                                settings.fleetName(), membership, socket, callbacks.leaveRequest())
                        .withRollout(rollout)
                        .withReplication(replication);
        AdminEndpoint endpoint = new AdminEndpoint(codec, server.name(), commands.handlers());
        runtime.network().listen("fleet", settings.listenAddress(), endpoint::createHandler);
    }

    /** Starts the socket and joins the fleet. Callable from any thread. */
    public void start() {
        socket.start();
        scheduler.post(this::join);
    }

    private void join() {
        LOG.info(
                () ->
                        membership.self().id()
                                + " takes part in fleet "
                                + settings.fleetName()
                                + " at "
                                + membership.self().address());
        tick();
        publishView();
        replication.ifPresent(ReplicationService::start);
    }

    private void tick() {
        if (isClosed) {
            return;
        }
        if (membership.nextTick().compareTo(scheduler.now()) <= 0) {
            membership.tick(scheduler.now());
            flush();
        }
        Duration wait = membership.nextTick().minus(scheduler.now());
        scheduler.runAfter(wait.isNegative() ? Duration.ZERO : wait, this::tick);
    }

    private void publishView() {
        if (isClosed) {
            return;
        }
        List<MemberSnapshot> view = membership.snapshot();
        peersFile.ifPresent(file -> storePeers(file, view));
        metrics.publish(view, membership.localHealthScore());
        scheduler.runAfter(METRICS_INTERVAL, this::publishView);
    }

    private void storePeers(PeersFile file, List<MemberSnapshot> view) {
        bootstrapPeers.observe(view, scheduler.now());
        bootstrapPeers.takeListToStore(scheduler.now()).ifPresent(file::write);
    }

    private void receive(ReceivedPacket packet) {
        if (isClosed) {
            return;
        }
        if (packet.message() instanceof MembershipMessage) {
            membership.receive(packet.asMembershipPacket(), scheduler.now());
            flush();
        } else if (isFromLiveMember(packet)) {
            String server = packet.sender().id().name();
            replication.ifPresent(service -> service.receive(server, packet.message()));
        }
    }

    /** Majorities count servers by name, so only the live member of a name may vote. */
    private boolean isFromLiveMember(ReceivedPacket packet) {
        return membership.isLive(packet.sender().id());
    }

    private void flush() {
        for (OutboundPacket each : membership.takeOutbound()) {
            sender.send(each);
        }
        for (MembershipChange each : membership.takeChanges()) {
            handleChange(each);
        }
    }

    private void handleChange(MembershipChange change) {
        metrics.countChange();
        if (change instanceof MembershipChange.StateChanged stateChange
                && stateChange.changesLiveness()) {
            Member member = change.member();
            boolean isAddressServed =
                    member.state().isLive()
                            || member.serviceAddress()
                                    .filter(membership::isServedByLiveMember)
                                    .isPresent();
            callbacks.memberObserver().accept(member, isAddressServed);
        }
        if (!membershipLog.tryAcquireLine(scheduler.now())) {
            return;
        }
        if (change instanceof MembershipChange.DuplicateName) {
            // Two replicas with one name would be counted as one. This one stops sending until an
            // operator resolves the conflict and restarts it.
            replication.ifPresent(ReplicationService::disableMessaging);
        }
        membershipLog.log(change, membership.liveCount());
    }

    /** Returns the replication service, or null if replication is not configured. */
    public ReplicationService replication() {
        return replication.orElse(null);
    }

    /** Returns the rollout service, or null if rollouts are not configured. */
    public RolloutService rollout() {
        return rollout.orElse(null);
    }

    /** Reloads the key file; its keys apply from the next packet on. Callable from any thread. */
    public void reload() {
        codec.replaceKeys(FleetKeys.read(settings.keyFile()));
    }

    /** Announces that this server is leaving; it keeps responding until it is closed. */
    public void leave() {
        membership.leave(scheduler.now());
        flush();
    }

    /** Leaves the fleet without notifying other members, and closes the socket. */
    public void close() {
        isClosed = true;
        replication.ifPresent(ReplicationService::close);
        peersFile.ifPresent(PeersFile::close);
        socket.close();
    }
}
