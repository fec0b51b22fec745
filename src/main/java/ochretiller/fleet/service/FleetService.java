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
 * A server's part in its fleet: drives the membership protocol, passes messages on to replication
 * and rollout, and answers the operators' commands.
 *
 * <p>On the event loop, unless a method says otherwise.
 */
public final class FleetService {
    private static final Logger LOG = Logger.getLogger(FleetService.class.getName());

    /** Interval at which gauges and the file of known peers are brought up to date. */
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
     * Creates a service that listens but does not take part yet, so that an address in use is
     * reported before anything is served.
     *
     * @param maxWindow longest idempotency window, with the client's timeouts
     * @param store where replicated entries are kept, not started yet; nothing if they are kept in
     *     memory
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
        codec = new PacketCodec(settings.fleet(), FleetKeys.read(settings.keyFile()));
        socket = new PeerSocket(scheduler, codec, settings.listen(), this::receive);
        Member self = self(settings, server);
        membership =
                new MembershipProtocol(
                        self, settings.seeds(), settings.pace(), runtime.random(), scheduler.now());
        peersFile = Optional.ofNullable(settings.peersFile()).map(PeersFile::new);
        List<PeerAddress> knownPeers = peersFile.map(PeersFile::read).orElse(List.of());
        bootstrapPeers = new BootstrapPeers(self.address(), knownPeers);
        membership.addBootstrapPeers(knownPeers);
        sender = new PacketSender(membership, codec, socket);
        FleetContext context =
                new FleetContext(
                        scheduler,
                        server.name(),
                        runtime.random(),
                        runtime.metrics(),
                        sender,
                        membership::snapshot);
        Optional<ReplicationSettings> replicationSettings = Optional.ofNullable(settings.copies());
        replication =
                replicationSettings.map(
                        present ->
                                new ReplicationService(
                                        context, present, self.incarnation(), maxWindow, store));
        rollout = replicationSettings.flatMap(present -> rollout(context, present, server));
        rollout.ifPresent(present -> replication.orElseThrow().attachRollout(present));
        listenForCommands(runtime, server);
        metrics = new FleetMetrics(runtime.metrics(), membership, socket);
    }

    /**
     * The incarnation must differ from all before, also if the same configuration is read again.
     */
    private static Member self(FleetSettings settings, LocalServer server) {
        long incarnation = new SecureRandom().nextLong() | 1;
        PeerAddress listenAddress =
                new PeerAddress(
                        settings.listen().getAddress().getHostAddress(),
                        settings.listen().getPort());
        return new Member(
                new MemberId(server.name(), incarnation),
                Optional.ofNullable(settings.advertise()).orElse(listenAddress),
                settings.zone(),
                server.build(),
                Optional.ofNullable(settings.serves())
                        .or(() -> Optional.of(server.serviceAddress())),
                FIRST_STATE_VERSION,
                MemberState.JOINING);
    }

    private Optional<RolloutService> rollout(
            FleetContext context, ReplicationSettings replicationSettings, LocalServer server) {
        return Optional.ofNullable(replicationSettings.versions())
                .map(
                        rolloutSettings ->
                                new RolloutService(
                                        context,
                                        rolloutSettings,
                                        server.build(),
                                        replicationSettings.voters(),
                                        callbacks.versionActivator()));
    }

    private void listenForCommands(FleetRuntime runtime, LocalServer server) throws IOException {
        AdminCommands commands =
                new AdminCommands()
                        .withMembership(
                                settings.fleet(), membership, socket, callbacks.leaveRequest())
                        .withRollout(rollout)
                        .withReplication(replication);
        AdminEndpoint endpoint = new AdminEndpoint(codec, server.name(), commands.handlers());
        runtime.network().listen("fleet", settings.listen(), endpoint::accepted);
    }

    /** Begins to take part. From any thread. */
    public void start() {
        socket.start();
        scheduler.post(this::join);
    }

    private void join() {
        LOG.info(
                () ->
                        membership.self().id()
                                + " takes part in fleet "
                                + settings.fleet()
                                + " at "
                                + membership.self().address());
        tick();
        observe();
        replication.ifPresent(ReplicationService::start);
    }

    private void tick() {
        if (isClosed) {
            return;
        }
        if (membership.nextTick().compareTo(scheduler.now()) <= 0) {
            membership.tick(scheduler.now());
            publish();
        }
        Duration wait = membership.nextTick().minus(scheduler.now());
        scheduler.after(wait.isNegative() ? Duration.ZERO : wait, this::tick);
    }

    private void observe() {
        if (isClosed) {
            return;
        }
        List<MemberSnapshot> view = membership.snapshot();
        peersFile.ifPresent(file -> storePeers(file, view));
        metrics.publish(view, membership.localHealthScore());
        scheduler.after(METRICS_INTERVAL, this::observe);
    }

    private void storePeers(PeersFile file, List<MemberSnapshot> view) {
        bootstrapPeers.observe(view, scheduler.now());
        bootstrapPeers.takeDue(scheduler.now()).ifPresent(file::write);
    }

    private void receive(ReceivedPacket packet) {
        if (isClosed) {
            return;
        }
        if (packet.message() instanceof MembershipMessage) {
            membership.receive(packet.packet(), scheduler.now());
            publish();
        } else if (isFromLiveMember(packet)) {
            String server = packet.sender().id().name();
            replication.ifPresent(present -> present.receive(server, packet.message()));
        }
    }

    /** Majorities are counted by name, so that only the live bearer of a name may take part. */
    private boolean isFromLiveMember(ReceivedPacket packet) {
        return membership.isLive(packet.sender().id());
    }

    private void publish() {
        for (OutboundPacket each : membership.takeOutbound()) {
            sender.send(each);
        }
        for (MembershipChange each : membership.takeChanges()) {
            report(each);
        }
    }

    private void report(MembershipChange change) {
        metrics.countChange();
        if (change instanceof MembershipChange.StateChanged stateChange
                && stateChange.changesLiveness()) {
            Member member = change.member();
            boolean isServed =
                    member.state().isLive()
                            || member.serviceAddress()
                                    .filter(membership::isServedByLiveMember)
                                    .isPresent();
            callbacks.memberObserver().accept(member, isServed);
        }
        if (!membershipLog.tryAcquireLine(scheduler.now())) {
            return;
        }
        if (change instanceof MembershipChange.DuplicateName) {
            // Two replicas of one name would be counted as one: this one stays silent until its
            // operators have seen to it.
            replication.ifPresent(ReplicationService::stopSending);
        }
        membershipLog.log(change, membership.liveCount());
    }

    /** Returns the replication, or null if there is none. */
    public ReplicationService replication() {
        return replication.orElse(null);
    }

    /** Returns the rollout, or null if there is none. */
    public RolloutService rollout() {
        return rollout.orElse(null);
    }

    /** Reads the key file again; its keys hold from the next packet on. From any thread. */
    public void reload() {
        codec.replaceKeys(FleetKeys.read(settings.keyFile()));
    }

    /** Tells the others that this server leaves; it goes on answering until it is closed. */
    public void leave() {
        membership.leave(scheduler.now());
        publish();
    }

    /** Ends its part in the fleet without a message. */
    public void close() {
        isClosed = true;
        replication.ifPresent(ReplicationService::close);
        peersFile.ifPresent(PeersFile::close);
        socket.close();
    }
}
