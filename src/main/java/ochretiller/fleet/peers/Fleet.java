package ochretiller.fleet.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import ochretiller.bounds.Bounded;
import ochretiller.fleet.members.Acquaintances;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.members.Change;
import ochretiller.fleet.members.Member;
import ochretiller.fleet.members.MemberId;
import ochretiller.fleet.members.Members;
import ochretiller.fleet.members.Message;
import ochretiller.fleet.members.Seen;
import ochretiller.fleet.members.Send;
import ochretiller.fleet.members.State;
import ochretiller.metrics.Metrics;
import ochretiller.net.Network;
import ochretiller.net.Schedule;
import ochretiller.store.Store;

/**
 * A server's part in its fleet: drives the decisions on the one thread, carries out what they say,
 * tells the operators.
 */
public final class Fleet {
    private static final Logger LOG = Logger.getLogger(Fleet.class.getName());

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

    private final Schedule schedule;
    private final FleetSettings settings;
    private final Codec codec;
    private final Members members;
    private final PeerSocket socket;
    private final Door door;
    private final Copies copies;

    /** Null where no versions are brought out. */
    private final Versions versions;

    /** Null where nothing is kept of who was seen. */
    private final PeersFile peersFile;

    private final Acquaintances acquaintances;
    private final BiConsumer<Member, Boolean> seen;
    private final Map<Address, InetSocketAddress> addresses = Bounded.byUse(ADDRESSES);
    private final Map<State, Integer> sizes = new EnumMap<>(State.class);
    private volatile int[] sizesNow = new int[State.values().length];
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
    public Fleet(
            Schedule schedule,
            Network network,
            FleetSettings settings,
            String name,
            String build,
            Address serves,
            RandomGenerator chance,
            Metrics metrics,
            Duration longest,
            Store store,
            BiConsumer<Member, Boolean> seen,
            Versions.Acts acts,
            Runnable leave)
            throws IOException {
        this.schedule = schedule;
        this.settings = settings;
        this.seen = seen;
        codec = new Codec(settings.fleet(), FleetKeys.read(settings.keyFile()));
        socket = new PeerSocket(schedule, codec, settings.listen(), this::taken);
        Address at =
                settings.advertise() != null
                        ? settings.advertise()
                        : new Address(
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
                        settings.serves() == null ? serves : settings.serves(),
                        1,
                        State.JOINING);
        members = new Members(self, settings.seeds(), settings.pace(), chance, schedule.now());
        peersFile = settings.peersFile() == null ? null : new PeersFile(settings.peersFile());
        List<Address> former = peersFile == null ? List.of() : peersFile.read();
        acquaintances = new Acquaintances(at, former);
        members.knew(former);
        copies =
                settings.copies() == null
                        ? null
                        : new Copies(
                                schedule,
                                settings.copies(),
                                name,
                                start,
                                longest,
                                chance,
                                metrics,
                                this::send,
                                () -> members.view(),
                                store);
        boolean brings = settings.copies() != null && settings.copies().versions() != null;
        versions =
                brings
                        ? new Versions(
                                schedule,
                                settings.copies().versions(),
                                name,
                                build,
                                settings.copies().voters(),
                                chance,
                                metrics,
                                this::send,
                                () -> members.view(),
                                acts)
                        : null;
        if (brings) {
            copies.bring(versions);
        }
        door = new Door(codec, name, words(leave));
        network.listen("fleet", settings.listen(), door::accepted);
        changed =
                metrics.counter(
                        "fleet_changes_total", "Changes of state that this server has seen");
        figures(metrics);
    }

    /** What the operators' commands may ask. */
    private Map<String, Door.Answer> words(Runnable leave) {
        Map<String, Door.Answer> words = new HashMap<>();
        words.put("view", with -> Views.json(settings.fleet(), members, socket));
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
        for (State state : State.values()) {
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
                () -> members.counts().probes);
        metrics.counted(
                "fleet_probes_missed_total",
                "Members that answered neither directly nor through others",
                () -> members.counts().missed);
        metrics.counted(
                "fleet_probes_indirect_total",
                "Probes that others were asked to carry on",
                () -> members.counts().asked);
        metrics.counted(
                "fleet_suspicions_total",
                "Members that became suspect",
                () -> members.counts().suspected);
        metrics.counted(
                "fleet_silenced_total",
                "Members that were judged silent",
                () -> members.counts().silenced);
        metrics.counted(
                "fleet_returned_total", "Members that came back", () -> members.counts().returned);
        metrics.counted(
                "fleet_refuted_total",
                "Times that this server said that it is there",
                () -> members.counts().refuted);
        metrics.counted(
                "fleet_twins_total",
                "Other processes that bear this server's name",
                () -> members.counts().twins);
        metrics.counted(
                "fleet_late_timers_total",
                "Timers that came late",
                () -> members.counts().lateTicks);
        metrics.counted(
                "fleet_views_compared_total",
                "Comparisons of views that this server began",
                () -> members.counts().syncs);
        metrics.counted(
                "fleet_views_refused_total",
                "Comparisons that were too many",
                () -> members.counts().syncsRefused);
        metrics.counted(
                "fleet_full_total",
                "Newcomers and questions for which there was no room",
                () -> members.counts().full);
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
        for (Refused why : Refused.values()) {
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
        if (members.next().compareTo(schedule.now()) <= 0) {
            members.tick(schedule.now());
            carryOut();
        }
        Duration wait = members.next().minus(schedule.now());
        schedule.after(wait.isNegative() ? Duration.ZERO : wait, this::tick);
    }

    private void look() {
        if (closed) {
            return;
        }
        sizes.clear();
        List<Seen> view = members.view();
        keep(view);
        for (Seen each : view) {
            sizes.merge(each.member().state(), 1, Integer::sum);
        }
        int[] next = new int[State.values().length];
        sizes.forEach((state, count) -> next[state.ordinal()] = count);
        sizesNow = next;
        doubtNow = members.doubt();
        schedule.after(FIGURES_EVERY, this::look);
    }

    private void keep(List<Seen> view) {
        if (peersFile == null) {
            return;
        }
        acquaintances.met(view, schedule.now());
        List<Address> due = acquaintances.due(schedule.now());
        if (due != null) {
            peersFile.write(due);
        }
    }

    private void taken(Codec.Opened opened) {
        if (closed) {
            return;
        }
        if (!(opened.body() instanceof Message)) {
            // Only who is in may speak of epochs and tokens: its name is what majorities are
            // counted by.
            if (copies != null && members.named(opened.from().id().name(), opened.from().start())) {
                copies.received(opened.from().id().name(), opened.body());
            }
            return;
        }
        members.received(opened.packet(), schedule.now());
        carryOut();
    }

    /**
     * To whoever bears this name and is in; to nobody where none is, which is a loss like any
     * other.
     */
    private void send(String name, Object message) {
        Address to = members.address(name);
        if (to == null) {
            return;
        }
        socket.send(
                addresses.computeIfAbsent(
                        to, each -> new InetSocketAddress(each.host(), each.port())),
                codec.seal(members.self(), message, ++sequence));
    }

    /** The copies that this fleet keeps of claims and results, or null where it keeps none. */
    public Copies copies() {
        return copies;
    }

    /** What is brought out to the fleet, or null where nothing is. */
    public Versions versions() {
        return versions;
    }

    private void carryOut() {
        for (Send send : members.sends()) {
            InetSocketAddress to =
                    addresses.computeIfAbsent(
                            send.to(), each -> new InetSocketAddress(each.host(), each.port()));
            socket.send(to, codec.seal(send.packet(), ++sequence));
        }
        for (Change change : members.changes()) {
            tell(change);
        }
    }

    private void tell(Change change) {
        changed.add();
        Member member = change.member();
        State state = member.state();
        if (change.kind() == Change.Kind.STATE
                && (change.before() == null || change.before().live() != state.live())) {
            seen.accept(member, state.live() || members.serving(member.serves()));
        }
        if (!line()) {
            return;
        }
        switch (change.kind()) {
            case STATE -> {
                if (state != State.SUSPECT) {
                    LOG.info(
                            () ->
                                    "fleet: "
                                            + member.id()
                                            + " at "
                                            + member.address()
                                            + " is "
                                            + state.externalName());
                }
            }
            case TWIN -> {
                // Two keepers by one name would be counted as one: this one says nothing more until
                // its operators have seen to it.
                if (copies != null) {
                    copies.silence();
                }
                LOG.warning(
                        "fleet: another process bears the name of this server: "
                                + member.id()
                                + " at "
                                + member.address());
            }
            case JOINED -> LOG.info(() -> "fleet: joined, with " + members.live() + " others");
            case REFUTED -> LOG.info("fleet: was thought to be gone, and says that it is here");
            case FORGOTTEN -> LOG.fine(() -> "fleet: " + member.id() + " is forgotten");
            default -> throw new IllegalStateException();
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
