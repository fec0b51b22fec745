package ochretiller.fleet.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import ochretiller.audit.Chain;
import ochretiller.bounds.Bounded;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;
import ochretiller.fleet.members.Seen;
import ochretiller.fleet.versions.Counts;
import ochretiller.fleet.versions.Doorkeeper;
import ochretiller.fleet.versions.Gather;
import ochretiller.fleet.versions.Lease;
import ochretiller.fleet.versions.Report;
import ochretiller.fleet.versions.Rollouts;
import ochretiller.fleet.versions.Stages;
import ochretiller.fleet.versions.VersionMessage;
import ochretiller.metrics.Metrics;
import ochretiller.net.Schedule;

/**
 * Carries out what is decided about versions, on the one thread: fetches what is in force for this
 * server, has it acted on, tells the voters, holds the lease; on a voter, carries rollouts on and
 * renews leases.
 */
public final class Versions {
    private static final Logger LOG = Logger.getLogger(Versions.class.getName());
    private static final Duration SPEAK = Duration.ofMillis(500);

    /** Versions whose bytes are kept in the folder, and whose counts are kept. */
    private static final int KEPT = 8;

    private static final int WRITES = 16;

    /** A person's word that is not agreed on by then is forgotten: it has to be said again. */
    private static final Duration WISHES = Duration.ofSeconds(10);

    /** Between two looks at where another's audit ends. */
    private static final Duration WITNESSES = Duration.ofSeconds(10);

    private static final int MOST_WITNESSED = 4_096;
    private static final String SUFFIX = ".version";

    private final Schedule schedule;
    private final VersionSettings settings;
    private final String name;
    private final String build;
    private final List<String> voters;
    private final RandomGenerator chance;
    private final BiConsumer<String, Object> send;
    private final Supplier<List<Seen>> view;
    private final Acts acts;
    private final SmallWrites writes = new SmallWrites("versions", WRITES);
    private final SealedFile state;
    private final Gather gather;
    private final Lease lease;
    private final Doorkeeper doorkeeper;
    private final Rollouts rollouts;
    private final Map<String, byte[]> bytes = Bounded.byUse(KEPT);
    private final Map<Long, Counts> counts = Bounded.byAge(KEPT);
    private final Map<String, Report> reports = new HashMap<>();
    private Layout layout = Layout.none(1);
    private Rollout.Version acting = Rollout.Version.NONE;
    private long refused;
    private String why = "";
    private Rollout wished;

    /**
     * A version that was published here, as long as a majority of voters does not have its bytes.
     */
    private Rollout offered;

    private final Map<String, Duration> witnessed = Bounded.byUse(MOST_WITNESSED);
    private final Set<String> have = new HashSet<>();

    /** Bytes that another voter offers, and who that is. */
    private final Gather taken;

    private String offeredBy;
    private Duration spoken = Duration.ZERO;
    private boolean wasOut;
    private boolean closed;
    private volatile long actingNow;
    private volatile int outNow;
    private volatile double leaseLeft;

    /** What acts on a version: the server round this. */
    public interface Acts {
        /** What is wrong with it, or null; nothing is changed by it. From any thread. */
        String check(byte[] version);

        /**
         * From the next gathering on all of it is acted on; the files of this server's own where
         * that is null. A fault: none of it is.
         */
        String become(byte[] version);

        /** Where this server's audit ends, or none. */
        Chain.Head audited();

        /** Something happened that is to be remembered. */
        void told(What what, Rollout.Version version, String text);
    }

    /** What happened. */
    public enum What {
        CHANGED,
        REFUSED,
        SHUT_OUT,
        LET_IN,
        PUBLISHED,
        ROLLOUT,
        WITNESSED
    }

    Versions(
            Schedule schedule,
            VersionSettings settings,
            String name,
            String build,
            List<String> voters,
            RandomGenerator chance,
            Metrics metrics,
            BiConsumer<String, Object> send,
            Supplier<List<Seen>> view,
            Acts acts) {
        this.schedule = schedule;
        this.settings = settings;
        this.name = name;
        this.build = build;
        this.voters = List.copyOf(voters);
        this.chance = chance;
        this.send = send;
        this.view = view;
        this.acts = acts;
        gather = new Gather(chance);
        taken = new Gather(chance);
        lease = new Lease(Set.copyOf(voters), settings.lease(), chance.nextLong() >>> 16);
        doorkeeper = new Doorkeeper(settings.grace(), chance);
        rollouts = new Rollouts(settings.watch(), settings.patience(), settings.takesBack());
        state = new SealedFile(settings.folder().resolve("acting"));
        read();
        metrics.gauge("fleet_version", "The version that this server acts on", () -> actingNow);
        metrics.gauge("fleet_versions_out", "Servers that this voter shuts out", () -> outNow);
        metrics.gauge(
                "fleet_lease_left_seconds",
                "How long this server may act on without a word of the voters",
                () -> leaseLeft);
    }

    /**
     * What a former process acted on is acted on again, from the start: its bytes are beside it.
     */
    private void read() {
        try {
            Files.createDirectories(settings.folder());
            try (DirectoryStream<Path> files =
                    Files.newDirectoryStream(settings.folder(), "*" + SUFFIX)) {
                for (Path each : files) {
                    byte[] all =
                            Files.size(each) > Rollout.Version.MOST
                                    ? new byte[0]
                                    : Files.readAllBytes(each);
                    // Others may still need those that this server did not come to act on.
                    if (each.equals(file(hash(all)))) {
                        bytes.put(hash(all), all);
                    }
                }
            }
            Rollout.Version before = state.read(CopyCodec::version);
            if (before == null || before.own()) {
                acting = before == null ? Rollout.Version.NONE : before;
                return;
            }
            byte[] all = bytes.get(before.hash());
            String fault = all == null ? "its bytes are not what they were" : acts.become(all);
            if (fault != null) {
                LOG.severe(
                        "fleet: version "
                                + before.number()
                                + " cannot be acted on any more, it is fetched again: "
                                + fault);
                return;
            }
            acting = before;
            actingNow = before.number();
        } catch (IOException e) {
            LOG.warning(
                    "fleet: what version was acted on before cannot be read: " + e.getMessage());
        }
    }

    private Path file(String hash) {
        return settings.folder().resolve(hash + SUFFIX);
    }

    /** SHA-256, in hex. */
    static String hash(byte[] all) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(all));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each JDK has it
        }
    }

    /** The version that this server acts on: an invocation that is read now is bound to it. */
    public long acting() {
        return acting.number();
    }

    /**
     * Looked at last, just before a keyed run is begun: whether this server may act on what it acts
     * on.
     */
    public boolean may() {
        return settings.lease().isZero() || lease.holds(schedule.exact());
    }

    /** What became of an invocation that was read under this version. */
    public void count(long version, Counts one) {
        counts.merge(version, one, Counts::plus);
    }

    /** An epoch is in force. */
    void become(Layout next) {
        if (next.epoch() <= layout.epoch() && !layout.servers().isEmpty()) {
            return;
        }
        Rollout before = layout.rollout();
        layout = next;
        doorkeeper.become(next, schedule.now());
        Rollout rollout = next.rollout();
        if (!rollout.equals(before)) {
            String text =
                    "version "
                            + rollout.to().number()
                            + (rollout.over()
                                    ? " is in force"
                                    : " comes to stage "
                                            + rollout.stage()
                                            + ", "
                                            + rollout.state().externalName());
            LOG.info("fleet: " + text + ": " + rollout.to().why());
            acts.told(What.ROLLOUT, rollout.to(), text);
        }
        if (rollout.equals(wished)) {
            wished = null;
        }
        follow();
    }

    /** Acts on what is in force for this server, or fetches it. */
    private void follow() {
        Rollout.Version target = Stages.target(layout, name);
        if (target.number() == acting.number() && target.hash().equals(acting.hash())
                || target.number() == refused) {
            return;
        }
        byte[] all = target.own() ? null : bytes.get(target.hash());
        if (!target.own() && all == null) {
            gather.want(target, schedule.now());
            return;
        }
        String fault =
                !target.build().isEmpty() && older(build, target.build())
                        ? "this build is " + build + ", and it needs " + target.build()
                        : acts.become(all);
        if (fault != null) {
            refused = target.number();
            why = fault.substring(0, Math.min(fault.length(), Report.LONGEST));
            LOG.severe("fleet: version " + target.number() + " is refused: " + fault);
            acts.told(What.REFUSED, target, why);
            return;
        }
        acting = target;
        actingNow = target.number();
        why = "";
        LOG.info("fleet: acts on version " + target.number());
        acts.told(What.CHANGED, target, "");
        writes.take(
                () -> {
                    try {
                        state.write(to -> CopyCodec.version(to, target));
                    } catch (IOException e) {
                        LOG.warning(
                                "fleet: what version is acted on cannot be kept: "
                                        + e.getMessage());
                    }
                });
    }

    /**
     * Whether one build is older than another: numbers by their size, what is behind them as text;
     * one that has no numbers is older.
     */
    static boolean older(String mine, String least) {
        String[] a = mine.split("[.-]");
        String[] b = least.split("[.-]");
        for (int i = 0; i < Math.min(a.length, b.length); i++) {
            boolean numbers = a[i].matches("[0-9]{1,9}") && b[i].matches("[0-9]{1,9}");
            if (b[i].matches("[0-9]{1,9}") && !numbers) {
                return true;
            }
            int order =
                    numbers
                            ? Integer.compare(Integer.parseInt(a[i]), Integer.parseInt(b[i]))
                            : a[i].compareTo(b[i]);
            if (order != 0) {
                return order < 0;
            }
        }
        return a.length < b.length
                && b[a.length].matches("[0-9]{1,9}")
                && !b[a.length].matches("0+");
    }

    /** Keeps the bytes; {@code then} is run once they are on disk. */
    private void keep(String hash, byte[] all, Runnable then) {
        bytes.put(hash, all);
        Set<String> needed = new HashSet<>(bytes.keySet());
        needed.add(acting.hash());
        writes.take(
                () -> {
                    try {
                        SealedFile.replace(file(hash), all);
                        schedule.post(then);
                        try (DirectoryStream<Path> files =
                                Files.newDirectoryStream(
                                        settings.folder(), "*" + SUFFIX + "{,.tmp}")) {
                            for (Path each : files) {
                                String text = each.getFileName().toString();
                                if (!needed.contains(
                                        text.substring(0, text.length() - SUFFIX.length()))) {
                                    Files.deleteIfExists(each);
                                }
                            }
                        }
                    } catch (IOException e) {
                        LOG.warning("fleet: a version's bytes cannot be kept: " + e.getMessage());
                    }
                });
    }

    // ---- time and messages

    void tick() {
        Duration now = schedule.now();
        for (Gather.Ask ask : gather.tick(sources(), now)) {
            send.accept(ask.to(), ask.message());
        }
        take(now);
        boolean out = !may();
        if (out != wasOut
                && !lease.ends().isZero()) { // a start has none yet, and says nothing of that
            LOG.warning(
                    out
                            ? "fleet: the voters do not renew this server's lease: keyed work is"
                                    + " throttled"
                            : "fleet: this server's lease holds: keyed work is let in");
            acts.told(
                    out ? What.SHUT_OUT : What.LET_IN,
                    acting,
                    out ? "its lease has ended" : "its lease holds");
        }
        wasOut = out;
        if (now.minus(spoken).compareTo(SPEAK) < 0) {
            return;
        }
        spoken = now.minus(Duration.ofNanos((long) (SPEAK.toNanos() / 4 * chance.nextDouble())));
        leaseLeft = Math.max(0, lease.ends().minus(now).toNanos() / 1e9);
        if (offered != null) {
            offer();
        }
        VersionMessage.Tell tell =
                new VersionMessage.Tell(
                        lease.ask(now), report(), acts.audited().number(), acts.audited().hash());
        for (String each : voters) {
            if (each.equals(name)) {
                received(name, tell);
            } else {
                send.accept(each, tell);
            }
        }
    }

    private Report report() {
        Rollout rollout = layout.rollout();
        Counts on = counts.getOrDefault(rollout.to().number(), Counts.NONE);
        Counts before =
                rollout.from().number() == rollout.to().number()
                        ? Counts.NONE
                        : counts.getOrDefault(rollout.from().number(), Counts.NONE);
        return new Report(
                acting.number(), acting.hash(), refused, why, rollout.to().number(), on, before);
    }

    /** Who may have the bytes: those of the same zone and the first stages, then anybody. */
    private List<String> sources() {
        if (!gather.waits()) {
            return List.of();
        }
        String zone = "";
        for (Seen each : view.get()) {
            if (each.self()) {
                zone = each.member().zone();
            }
        }
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        for (Seen each : view.get()) {
            if (each.self() || !each.member().state().live()) {
                continue;
            }
            String other = each.member().id().name();
            if (voters.contains(other) || Stages.on(layout, other)) {
                (each.member().zone().equals(zone) ? near : far).add(other);
            }
        }
        near.addAll(far);
        return near;
    }

    void received(String from, VersionMessage message) {
        if (closed) {
            return;
        }
        Duration now = schedule.now();
        if (message instanceof VersionMessage.Tell tell) {
            if (!voters.contains(name)) {
                return;
            }
            witness(from, tell, now);
            rollouts.told(from, tell.report());
            reports.put(from, tell.report());
            boolean may = doorkeeper.renews(layout, from, reports, now);
            if (from.equals(name)) {
                renewed(from, tell.question(), may);
            } else {
                send.accept(from, new VersionMessage.Renewed(tell.question(), may));
            }
        } else if (message instanceof VersionMessage.Renewed renewed) {
            renewed(from, renewed.question(), renewed.may());
        } else if (message instanceof VersionMessage.WantBytes want) {
            byte[] all = bytes.get(want.hash());
            if (all != null) {
                Gather.cut(want, all).ifPresent(piece -> send.accept(from, piece));
            }
        } else if (message instanceof VersionMessage.Offer offer) {
            offered(from, offer, now);
        } else if (message instanceof VersionMessage.Have told) {
            if (offered == null
                    || !voters.contains(from)
                    || !told.hash().equals(offered.to().hash())) {
                return;
            }
            have.add(from);
            // Whoever published it may die now: it is brought out all the same.
            if (have.size() < Layout.majority(voters.size())) {
                return;
            }
            wish(offered);
            offered = null;
        } else if (message instanceof VersionMessage.Bytes piece) {
            taken.received(piece, now)
                    .ifPresent(
                            all -> {
                                String by = offeredBy;
                                if (hash(all).equals(piece.hash())) {
                                    keep(
                                            piece.hash(),
                                            all,
                                            () ->
                                                    send.accept(
                                                            by,
                                                            new VersionMessage.Have(piece.hash())));
                                } else {
                                    taken.spoilt(now);
                                }
                            });
            take(now);
            gather.received(piece, now)
                    .ifPresent(
                            all -> {
                                if (!hash(all).equals(piece.hash())) {
                                    gather.spoilt(now);
                                    return;
                                }
                                keep(piece.hash(), all, () -> {});
                                follow();
                            });
            for (Gather.Ask ask : gather.tick(sources(), now)) {
                send.accept(ask.to(), ask.message());
            }
        }
    }

    /**
     * What each voter knows of the others' audits is in its own: a lost tail, or one that was
     * written anew, is seen by that.
     */
    private void witness(String from, VersionMessage.Tell tell, Duration now) {
        Duration last = witnessed.get(from);
        if (tell.audited() == 0
                || from.equals(name)
                || last != null && now.minus(last).compareTo(WITNESSES) < 0) {
            return;
        }
        witnessed.put(from, now);
        acts.told(What.WITNESSED, acting, from + ' ' + tell.audited() + ' ' + tell.auditHash());
    }

    private void take(Duration now) {
        if (offeredBy != null) {
            for (Gather.Ask ask : taken.tick(List.of(offeredBy), now)) {
                send.accept(ask.to(), ask.message());
            }
        }
    }

    private void offer() {
        for (String each : voters) {
            if (!each.equals(name) && !have.contains(each)) {
                send.accept(
                        each, new VersionMessage.Offer(offered.to().hash(), offered.to().size()));
            }
        }
    }

    private void offered(String by, VersionMessage.Offer offer, Duration now) {
        if (!voters.contains(name) || !voters.contains(by)) {
            return;
        }
        if (bytes.containsKey(offer.hash())) {
            send.accept(by, new VersionMessage.Have(offer.hash()));
            return;
        }
        offeredBy = by;
        taken.want(new Rollout.Version(1, offer.hash(), offer.size(), "", "", ""), now);
        take(now);
    }

    private void renewed(String from, long question, boolean may) {
        if (may) {
            lease.granted(from, question);
        }
    }

    // ---- a voter's part

    /**
     * What this voter wishes to have agreed on: a person's word first, then what follows from what
     * is seen.
     */
    Optional<Layout> next(Layout agreed) {
        Set<String> live = new HashSet<>();
        for (Seen each : view.get()) {
            if (each.member().state().live()) {
                live.add(each.member().id().name());
            }
        }
        reports.keySet().retainAll(live);
        outNow = doorkeeper.out().size();
        if (wished != null) {
            return Optional.of(agreed.with(wished));
        }
        return rollouts.next(agreed, live, schedule.now()).map(agreed::with);
    }

    /** What the operators' commands say; each answer is JSON with what came of it. */
    String publish(String by, String reason, String leastBuild, byte[] all) {
        if (!voters.contains(name)) {
            return refusal("this server is no voter: ask one of " + voters);
        }
        if (all.length == 0 || all.length > Rollout.Version.MOST) {
            return refusal("a version has 1 to " + Rollout.Version.MOST + " bytes");
        }
        Rollout rollout = layout.rollout();
        if (!rollout.over() || wished != null || offered != null) {
            return refusal(
                    "version " + rollout.to().number() + " is being brought out: one at a time");
        }
        String fault = acts.check(all);
        if (fault != null) {
            return refusal(fault);
        }
        Rollout.Version next;
        try {
            next =
                    new Rollout.Version(
                            rollout.to().number() + 1,
                            hash(all),
                            all.length,
                            leastBuild,
                            by,
                            reason);
        } catch (IllegalArgumentException e) {
            return refusal(e.getMessage());
        }
        offered = rollout.begins(next);
        Rollout mine = offered;
        have.clear();
        keep(
                next.hash(),
                all,
                () -> {
                    if (offered != mine) {
                        return;
                    }
                    received(name, new VersionMessage.Have(next.hash()));
                    if (offered == mine) {
                        offer();
                    }
                });
        schedule.after(
                WISHES,
                () -> {
                    if (offered == mine) {
                        offered = null; // no majority of voters is there
                    }
                });
        acts.told(What.PUBLISHED, next, by + ": " + reason);
        return JsonText.object(to -> to.writeNumberField("published", next.number()));
    }

    private void wish(Rollout next) {
        wished = next;
        // Guards against a wish that somebody else's epoch has overtaken: it is a person's word,
        // and said again by them.
        schedule.after(
                WISHES,
                () -> {
                    if (next.equals(wished)) {
                        wished = null;
                    }
                });
    }

    private static String refusal(String text) {
        return JsonText.object(to -> to.writeStringField("refused", text));
    }

    /** A person pauses a rollout, lets it go on, or takes it back. */
    String steer(String word, String by) {
        if (!voters.contains(name)) {
            return refusal("this server is no voter: ask one of " + voters);
        }
        Rollout rollout = layout.rollout();
        Rollout next =
                switch (word) {
                    case "pause" ->
                            rollout.state() == Rollout.State.RUNS
                                    ? rollout.as(Rollout.State.PAUSED)
                                    : null;
                    case "go-on" ->
                            rollout.over() || rollout.state() == Rollout.State.RUNS
                                    ? null
                                    : rollout.as(Rollout.State.RUNS);
                    case "take-back" ->
                            rollout.to().number() == 0 || rollout.from().equals(rollout.to())
                                    ? null
                                    : rollout.back(by, "taken back by " + by);
                    default -> null;
                };
        if (next == null) {
            return refusal(
                    "there is nothing to "
                            + word
                            + ": "
                            + rollout.state().externalName()
                            + " at version "
                            + rollout.to().number());
        }
        wish(next);
        return JsonText.object(to -> to.writeStringField("wished", word));
    }

    /** All that there is to tell of versions. */
    String status() {
        Rollout rollout = layout.rollout();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", name);
                    to.writeNumberField("acts", acting.number());
                    to.writeStringField("hash", acting.hash());
                    to.writeNumberField("version", rollout.to().number());
                    to.writeNumberField("before", rollout.from().number());
                    to.writeStringField("why", rollout.to().why());
                    to.writeStringField("by", rollout.to().by());
                    to.writeStringField("state", rollout.state().externalName());
                    to.writeNumberField("stage", rollout.stage());
                    to.writeStringField("halted", rollouts.halted());
                    to.writeBooleanField("may", may());
                    to.writeNumberField(
                            "lease_left_ms",
                            Math.max(0, lease.ends().minus(schedule.now()).toMillis()));
                    to.writeStringField("refused", refused == 0 ? "" : refused + ": " + why);
                    to.writeObjectFieldStart("servers");
                    for (Map.Entry<String, Report> each : new TreeMap<>(reports).entrySet()) {
                        to.writeObjectFieldStart(each.getKey());
                        to.writeNumberField("acts", each.getValue().acts());
                        to.writeNumberField("read", each.getValue().on().read());
                        to.writeNumberField("refused", each.getValue().refused());
                        to.writeBooleanField("out", doorkeeper.out().contains(each.getKey()));
                        to.writeEndObject();
                    }
                    to.writeEndObject();
                });
    }

    /**
     * Reads what a publisher's command says: lines with who, why and the least build, and the
     * version behind them.
     */
    String publish(String with) {
        String[] lines = with.split("\n", 4);
        if (lines.length < 4) {
            return refusal("no version");
        }
        return publish(lines[0], lines[1], lines[2], lines[3].getBytes(StandardCharsets.UTF_8));
    }

    void close() {
        closed = true;
        writes.close();
    }
}
