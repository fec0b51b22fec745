package ochretiller.fleet.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.membership.BootstrapPeers;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipChange;
import ochretiller.fleet.membership.MembershipCounter;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.membership.OutboundPacket;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.AdminEndpoint;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.PeerSocket;
import ochretiller.fleet.transport.RejectReason;
import ochretiller.metrics.Metrics;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.store.Store;

/**
 * A server's part in its fleet: drives the decisions on the one thread, carries out what they say,
 * tells the operators.
 */
public final class FleetService {
    private static final Logger LOG = Logger.getLogger(FleetService.class.getName());

    /** Addresses of peers that are kept made: more than a fleet has. */
    private static final int ADDRESSES = 4096;

    /**
     * Lines on changes in such a span; a fleet that flaps gets one line with the number of the
     * rest.
     */
    private static final int LINES = 20;

    private static final Duration LINES_IN = Duration.ofSeconds(10);
    private static final String NO_VERSIONS = "{\"refused\":\"no versions are brought out here\"}";
    private static final String NO_COPIES = "{\"copies\":false}";
    private static final Duration FIGURES_EVERY = Duration.ofSeconds(1);

    private final Scheduler schedule;
    private final FleetSettings settings;
    private final PacketCodec codec;
    private final MembershipProtocol members;
    private final PeerSocket socket;
    private final AdminEndpoint door;
    private final ReplicationService copies;

    /** Null where no versions are brought out. */
    private final RolloutService versions;

    /** Null where nothing is kept of who was seen. */
    private final PeersFile peersFile;

    private final BootstrapPeers acquaintances;
    private final BiConsumer<Member, Boolean> seen;
    private final Map<PeerAddress, InetSocketAddress> addresses =
            BoundedMap.evictingLeastRecentlyUsed(ADDRESSES);
    private final Map<MemberState, Integer> sizes = new EnumMap<>(MemberState.class);
    private volatile int[] sizesNow = new int[MemberState.values().length];
    private volatile int doubtNow;
    private final Metrics.Counter changed;
    private Duration linesFrom = Duration.ZERO;
    private int lines;
    private long sequence;
    private boolean closed;

    /**
     * A part in a fleet that has not begun; it listens already, so that an address in use is told
     * before anything is served.
     *
     * @param serves where the server serves, unless the operators say otherwise
     * @param seen told on the one thread of each other member that is there, or no longer is
     * @param longest the longest window of a token, its client timeout among it
     * @param store where copies are kept, not started yet; null where they are kept in memory
     * @param acts what acts on versions, where they are brought out
     * @param leave run once the operators' command says so
     */
    public FleetService(
            Scheduler schedule,
            Network network,
            FleetSettings settings,
            String name,
            String build,
            PeerAddress serves,
            RandomGenerator chance,
            Metrics metrics,
            Duration longest,
            Store store,
            BiConsumer<Member, Boolean> seen,
            RolloutService.Acts acts,
            Runnable leave)
            throws IOException {
        this.schedule = schedule;
        this.settings = settings;
        this.seen = seen;
        codec = new PacketCodec(settings.fleet(), FleetKeys.read(settings.keyFile()));
        socket = new PeerSocket(schedule, codec, settings.listen(), this::taken);
        PeerAddress at =
                settings.advertise() != null
                        ? settings.advertise()
                        : new PeerAddress(
                                settings.listen().getAddress().getHostAddress(),
                                settings.listen().getPort());
        // The start must differ from all before it, also where the same configuration is read
        // again: no seed can say it.
        long start = new SecureRandom().nextLong() | 1;
        Member self =
                new Member(
                        new MemberId(name, start),
                        at,
                        settings.zone(),
                        build,
                        Optional.ofNullable(settings.serves() == null ? serves : settings.serves()),
                        1,
                        MemberState.JOINING);
        members =
                new MembershipProtocol(
                        self, settings.seeds(), settings.pace(), chance, schedule.now());
        peersFile = settings.peersFile() == null ? null : new PeersFile(settings.peersFile());
        List<PeerAddress> former = peersFile == null ? List.of() : peersFile.read();
        acquaintances = new BootstrapPeers(at, former);
        members.addBootstrapPeers(former);
        copies =
                settings.copies() == null
                        ? null
                        : new ReplicationService(
                                schedule,
                                settings.copies(),
                                name,
                                start,
                                longest,
                                chance,
                                metrics,
                                this::send,
                                () -> members.snapshot(),
                                store);
        boolean brings = settings.copies() != null && settings.copies().versions() != null;
        versions =
                brings
                        ? new RolloutService(
                                schedule,
                                settings.copies().versions(),
                                name,
                                build,
                                settings.copies().voters(),
                                chance,
                                metrics,
                                this::send,
                                () -> members.snapshot(),
                                acts)
                        : null;
        if (brings) {
            copies.bring(versions);
        }
        door = new AdminEndpoint(codec, name, words(leave));
        network.listen("fleet", settings.listen(), door::accepted);
        changed =
                metrics.counter(
                        "fleet_changes_total", "Changes of state that this server has seen");
        figures(metrics);
    }

    /** What the operators' commands may ask. */
    private Map<String, AdminEndpoint.Answer> words(Runnable leave) {
        Map<String, AdminEndpoint.Answer> words = new HashMap<>();
        words.put("view", with -> MembershipJson.json(settings.fleet(), members, socket));
        words.put("ping", with -> "{}");
        words.put(
                "leave",
                with -> {
                    LOG.info("told to leave by the operators' command");
                    leave.run();
                    return "{\"leaves\":true}";
                });
        words.put("version-status", with -> versions == null ? NO_VERSIONS : versions.status());
        words.put(
                "version-publish", with -> versions == null ? NO_VERSIONS : versions.publish(with));
        for (String word : List.of("pause", "go-on", "take-back")) {
            words.put(
                    "version-" + word,
                    with -> versions == null ? NO_VERSIONS : versions.steer(word, with));
        }
        words.put("copies-status", with -> copies == null ? NO_COPIES : copies.told().status());
        words.put("copies-show", with -> copies == null ? NO_COPIES : copies.told().show(with));
        words.put("copies-digests", with -> copies == null ? NO_COPIES : copies.told().digests());
        words.put("copies-range", with -> copies == null ? NO_COPIES : copies.told().range(with));
        words.put("copies-repair", with -> copies == null ? NO_COPIES : copies.repair());
        return words;
    }

    private void figures(Metrics metrics) {
        for (MemberState state : MemberState.values()) {
            String name = state.lowerCaseName();
            metrics.gauge(
                    "fleet_members_" + name,
                    "Members that are seen as " + name + ", this server among them",
                    () -> sizesNow[state.ordinal()]);
        }
        metrics.gauge("fleet_doubt", "How far this server doubts itself, 0 to 8", () -> doubtNow);
        metrics.counted(
                "fleet_probes_total",
                "Members that were asked in turn",
                () -> members.counters().get(MembershipCounter.PROBES));
        metrics.counted(
                "fleet_probes_missed_total",
                "Members that answered neither directly nor through others",
                () -> members.counters().get(MembershipCounter.FAILED_PROBES));
        metrics.counted(
                "fleet_probes_indirect_total",
                "Probes that others were asked to carry on",
                () -> members.counters().get(MembershipCounter.INDIRECT_PROBES));
        metrics.counted(
                "fleet_suspicions_total",
                "Members that became suspect",
                () -> members.counters().get(MembershipCounter.SUSPICIONS));
        metrics.counted(
                "fleet_silenced_total",
                "Members that were judged silent",
                () -> members.counters().get(MembershipCounter.BECAME_UNRESPONSIVE));
        metrics.counted(
                "fleet_returned_total",
                "Members that came back",
                () -> members.counters().get(MembershipCounter.RETURNED));
        metrics.counted(
                "fleet_refuted_total",
                "Times that this server said that it is there",
                () -> members.counters().get(MembershipCounter.REFUTATIONS));
        metrics.counted(
                "fleet_twins_total",
                "Other processes that bear this server's name",
                () -> members.counters().get(MembershipCounter.DUPLICATE_NAMES));
        metrics.counted(
                "fleet_late_timers_total",
                "Timers that came late",
                () -> members.counters().get(MembershipCounter.LATE_TICKS));
        metrics.counted(
                "fleet_views_compared_total",
                "Comparisons of views that this server began",
                () -> members.counters().get(MembershipCounter.SYNCS));
        metrics.counted(
                "fleet_views_refused_total",
                "Comparisons that were too many",
                () -> members.counters().get(MembershipCounter.SYNCS_REJECTED));
        metrics.counted(
                "fleet_full_total",
                "Newcomers and questions for which there was no room",
                () -> members.counters().get(MembershipCounter.CAPACITY_REJECTIONS));
        metrics.counted(
                "fleet_sent_packets_total", "Packets sent to peers", socket.sentPackets::sum);
        metrics.counted("fleet_sent_bytes_total", "Bytes sent to peers", socket.sentBytes::sum);
        metrics.counted(
                "fleet_unsent_packets_total",
                "Packets that the socket did not take",
                socket.unsent::sum);
        metrics.counted(
                "fleet_read_packets_total",
                "Packets read, refused ones among them",
                socket.readPackets::sum);
        metrics.counted(
                "fleet_read_bytes_total",
                "Bytes read, refused ones among them",
                socket.readBytes::sum);
        for (RejectReason why : RejectReason.values()) {
            metrics.counted(
                    "fleet_refused_" + why.lowerCaseName() + "_total",
                    "Packets refused: " + why.externalName(),
                    () -> socket.refused(why));
        }
    }

    /** Begins; from any thread. */
    public void start() {
        socket.start();
        schedule.post(
                () -> {
                    LOG.info(
                            () ->
                                    members.self().id()
                                            + " takes part in fleet "
                                            + settings.fleet()
                                            + " at "
                                            + members.self().address());
                    tick();
                    look();
                    if (copies != null) {
                        copies.start();
                    }
                });
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (members.nextTick().compareTo(schedule.now()) <= 0) {
            members.tick(schedule.now());
            carryOut();
        }
        Duration wait = members.nextTick().minus(schedule.now());
        schedule.after(wait.isNegative() ? Duration.ZERO : wait, this::tick);
    }

    private void look() {
        if (closed) {
            return;
        }
        sizes.clear();
        List<MemberSnapshot> view = members.snapshot();
        keep(view);
        for (MemberSnapshot each : view) {
            sizes.merge(each.member().state(), 1, Integer::sum);
        }
        int[] next = new int[MemberState.values().length];
        sizes.forEach((state, count) -> next[state.ordinal()] = count);
        sizesNow = next;
        doubtNow = members.localHealthScore();
        schedule.after(FIGURES_EVERY, this::look);
    }

    private void keep(List<MemberSnapshot> view) {
        if (peersFile == null) {
            return;
        }
        acquaintances.observe(view, schedule.now());
        acquaintances.takeDue(schedule.now()).ifPresent(peersFile::write);
    }

    private void taken(PacketCodec.Opened opened) {
        if (closed) {
            return;
        }
        if (!(opened.body() instanceof MembershipMessage)) {
            // Only who is in may speak of epochs and tokens: its name is what majorities are
            // counted by.
            if (copies != null && members.isLive(opened.from().id())) {
                copies.received(opened.from().id().name(), opened.body());
            }
            return;
        }
        members.receive(opened.packet(), schedule.now());
        carryOut();
    }

    /**
     * To whoever bears this name and is in; to nobody where none is, which is a loss like any
     * other.
     */
    private void send(String name, Object message) {
        members.addressOf(name).ifPresent(to -> send(to, message));
    }

    private void send(PeerAddress to, Object message) {
        socket.send(
                addresses.computeIfAbsent(
                        to, each -> new InetSocketAddress(each.host(), each.port())),
                codec.seal(members.self(), message, ++sequence));
    }

    /** The copies that this fleet keeps of claims and results, or null where it keeps none. */
    public ReplicationService copies() {
        return copies;
    }

    /** What is brought out to the fleet, or null where nothing is. */
    public RolloutService versions() {
        return versions;
    }

    private void carryOut() {
        for (OutboundPacket send : members.takeOutbound()) {
            InetSocketAddress to =
                    addresses.computeIfAbsent(
                            send.destination(),
                            each -> new InetSocketAddress(each.host(), each.port()));
            socket.send(to, codec.seal(send.packet(), ++sequence));
        }
        for (MembershipChange change : members.takeChanges()) {
            tell(change);
        }
    }

    private void tell(MembershipChange change) {
        changed.add();
        Member member = change.member();
        MemberState state = member.state();
        if (change instanceof MembershipChange.StateChanged stateChange
                && stateChange.changesLiveness()) {
            seen.accept(
                    member,
                    state.isLive()
                            || member.serviceAddress()
                                    .filter(members::isServedByLiveMember)
                                    .isPresent());
        }
        if (!line()) {
            return;
        }
        if (change instanceof MembershipChange.StateChanged) {
            if (state != MemberState.SUSPECT) {
                LOG.info(
                        () ->
                                "fleet: "
                                        + member.id()
                                        + " at "
                                        + member.address()
                                        + " is "
                                        + state.externalName());
            }
        } else if (change instanceof MembershipChange.DuplicateName) {
            // Two replicas by one name would be counted as one: this one sends nothing more until
            // its operators have seen to it.
            if (copies != null) {
                copies.silence();
            }
            LOG.warning(
                    "fleet: another process bears the name of this server: "
                            + member.id()
                            + " at "
                            + member.address());
        } else if (change instanceof MembershipChange.Joined) {
            LOG.info(() -> "fleet: joined, with " + members.liveCount() + " others");
        } else if (change instanceof MembershipChange.SuspicionRefuted) {
            LOG.info("fleet: was thought to be gone, and says that it is here");
        } else if (change instanceof MembershipChange.Forgotten) {
            LOG.fine(() -> "fleet: " + member.id() + " is forgotten");
        }
    }

    /** Whether there is room for one more line: a fleet that flaps must not fill the log. */
    private boolean line() {
        Duration now = schedule.now();
        if (now.minus(linesFrom).compareTo(LINES_IN) >= 0) {
            if (lines > LINES) {
                int more = lines - LINES;
                LOG.info(() -> "fleet: " + more + " more changes that got no line");
            }
            linesFrom = now;
            lines = 0;
        }
        return ++lines <= LINES;
    }

    /** Other keys hold from the next packet on, if the file is good. */
    public void reload() {
        codec.become(FleetKeys.read(settings.keyFile()));
    }

    /**
     * All others are told that this server leaves; it still answers until it is closed. On the one
     * thread.
     */
    public void leave() {
        members.leave(schedule.now());
        carryOut();
    }

    public void close() {
        closed = true;
        if (copies != null) {
            copies.close();
        }
        if (peersFile != null) {
            peersFile.close();
        }
        socket.close();
    }
}
