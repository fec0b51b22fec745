package ochretiller.fleet.service;

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
import ochretiller.audit.ChainHead;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.rollout.Lease;
import ochretiller.fleet.rollout.LeaseGrantor;
import ochretiller.fleet.rollout.OutboundChunkRequest;
import ochretiller.fleet.rollout.RolloutController;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.RolloutStages;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionDownload;
import ochretiller.fleet.rollout.VersionReport;
import ochretiller.fleet.transport.ReplicationCodec;
import ochretiller.metrics.Metrics;
import ochretiller.net.Scheduler;

/**
 * Carries out what is decided about versions, on the one thread: fetches what is in force for this
 * server, has it acted on, tells the voters, holds the lease; on a voter, carries rollouts on and
 * renews leases.
 */
public final class RolloutService {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());
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

    private final Scheduler schedule;
    private final RolloutSettings settings;
    private final String name;
    private final String build;
    private final List<String> voters;
    private final RandomGenerator chance;
    private final BiConsumer<String, Object> send;
    private final Supplier<List<MemberSnapshot>> view;
    private final Acts acts;
    private final BackgroundWriter writes = new BackgroundWriter("versions", WRITES);
    private final SealedFile state;
    private final VersionDownload gather;
    private final Lease lease;
    private final LeaseGrantor doorkeeper;
    private final RolloutController rollouts;
    private final Map<String, byte[]> bytes = BoundedMap.evictingLeastRecentlyUsed(KEPT);
    private final Map<Long, VersionCounters> counts = BoundedMap.evictingOldest(KEPT);
    private final Map<String, VersionReport> reports = new HashMap<>();
    private ReplicaPlacement layout = ReplicaPlacement.empty(1);
    private PublishedVersion acting = PublishedVersion.NONE;
    private long refused;
    private String why = "";
    private RolloutState wished;

    /**
     * A version that was published here, as long as a majority of voters does not have its bytes.
     */
    private RolloutState offered;

    private final Map<String, Duration> witnessed =
            BoundedMap.evictingLeastRecentlyUsed(MOST_WITNESSED);
    private final Set<String> have = new HashSet<>();

    /** Bytes that another voter offers, and who that is. */
    private final VersionDownload taken;

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
        ChainHead audited();

        /** Something happened that is to be remembered. */
        void told(What what, PublishedVersion version, String text);
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

    RolloutService(
            Scheduler schedule,
            RolloutSettings settings,
            String name,
            String build,
            List<String> voters,
            RandomGenerator chance,
            Metrics metrics,
            BiConsumer<String, Object> send,
            Supplier<List<MemberSnapshot>> view,
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
        gather = new VersionDownload(chance);
        taken = new VersionDownload(chance);
        lease = new Lease(Set.copyOf(voters), settings.lease(), chance.nextLong() >>> 16);
        doorkeeper = new LeaseGrantor(settings.grace(), chance);
        rollouts =
                new RolloutController(settings.watch(), settings.patience(), settings.takesBack());
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
                            Files.size(each) > PublishedVersion.MAX_BYTES
                                    ? new byte[0]
                                    : Files.readAllBytes(each);
                    // Others may still need those that this server did not come to act on.
                    if (each.equals(file(hash(all)))) {
                        bytes.put(hash(all), all);
                    }
                }
            }
            PublishedVersion before = state.read(ReplicationCodec::version);
            if (before == null || before.usesLocalFiles()) {
                acting = before == null ? PublishedVersion.NONE : before;
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
        return settings.lease().isZero() || lease.isHeld(schedule.exact());
    }

    /** What became of an invocation that was read under this version. */
    public void count(long version, VersionCounters one) {
        counts.merge(version, one, VersionCounters::plus);
    }

    /** An epoch is in force. */
    void become(ReplicaPlacement next) {
        if (next.epoch() <= layout.epoch() && !layout.servers().isEmpty()) {
            return;
        }
        RolloutState before = layout.rollout();
        layout = next;
        doorkeeper.adoptPlacement(next, schedule.now());
        RolloutState rollout = next.rollout();
        if (!rollout.equals(before)) {
            String text =
                    "version "
                            + rollout.target().number()
                            + (rollout.isComplete()
                                    ? " is in force"
                                    : " comes to stage "
                                            + rollout.stage()
                                            + ", "
                                            + rollout.phase().externalName());
            LOG.info("fleet: " + text + ": " + rollout.target().reason());
            acts.told(What.ROLLOUT, rollout.target(), text);
        }
        if (rollout.equals(wished)) {
            wished = null;
        }
        follow();
    }

    /** Acts on what is in force for this server, or fetches it. */
    private void follow() {
        PublishedVersion target = RolloutStages.targetVersion(layout, name);
        if (target.number() == acting.number() && target.hash().equals(acting.hash())
                || target.number() == refused) {
            return;
        }
        byte[] all = target.usesLocalFiles() ? null : bytes.get(target.hash());
        if (!target.usesLocalFiles() && all == null) {
            gather.start(target, schedule.now());
            return;
        }
        String fault =
                !target.minimumBuild().isEmpty() && older(build, target.minimumBuild())
                        ? "this build is " + build + ", and it needs " + target.minimumBuild()
                        : acts.become(all);
        if (fault != null) {
            refused = target.number();
            why = fault.substring(0, Math.min(fault.length(), VersionReport.MAX_REASON_LENGTH));
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
                        state.write(to -> ReplicationCodec.version(to, target));
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
        for (OutboundChunkRequest ask : gather.tick(sources(), now)) {
            send.accept(ask.recipient(), ask.request());
        }
        take(now);
        boolean out = !may();
        if (out != wasOut
                && !lease.expiresAt().isZero()) { // a start has none yet, and says nothing of that
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
        leaseLeft = Math.max(0, lease.expiresAt().minus(now).toNanos() / 1e9);
        if (offered != null) {
            offer();
        }
        RolloutMessage.StatusReport tell =
                new RolloutMessage.StatusReport(
                        lease.startRenewal(now),
                        report(),
                        acts.audited().number(),
                        acts.audited().hash());
        for (String each : voters) {
            if (each.equals(name)) {
                received(name, tell);
            } else {
                send.accept(each, tell);
            }
        }
    }

    private VersionReport report() {
        RolloutState rollout = layout.rollout();
        VersionCounters on = counts.getOrDefault(rollout.target().number(), VersionCounters.ZERO);
        VersionCounters before =
                rollout.previous().number() == rollout.target().number()
                        ? VersionCounters.ZERO
                        : counts.getOrDefault(rollout.previous().number(), VersionCounters.ZERO);
        return new VersionReport(
                acting.number(),
                acting.hash(),
                refused,
                why,
                rollout.target().number(),
                on,
                before);
    }

    /** Who may have the bytes: those of the same zone and the first stages, then anybody. */
    private List<String> sources() {
        if (!gather.isIncomplete()) {
            return List.of();
        }
        String zone = "";
        for (MemberSnapshot each : view.get()) {
            if (each.isSelf()) {
                zone = each.member().zone();
            }
        }
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        for (MemberSnapshot each : view.get()) {
            if (each.isSelf() || !each.member().state().isLive()) {
                continue;
            }
            String other = each.member().id().name();
            if (voters.contains(other) || RolloutStages.includes(layout, other)) {
                (each.member().zone().equals(zone) ? near : far).add(other);
            }
        }
        near.addAll(far);
        return near;
    }

    void received(String from, RolloutMessage message) {
        if (closed) {
            return;
        }
        Duration now = schedule.now();
        if (message instanceof RolloutMessage.StatusReport tell) {
            if (!voters.contains(name)) {
                return;
            }
            witness(from, tell, now);
            rollouts.recordReport(from, tell.report());
            reports.put(from, tell.report());
            boolean may = doorkeeper.renew(layout, from, reports, now);
            if (from.equals(name)) {
                renewed(from, tell.requestId(), may);
            } else {
                send.accept(from, new RolloutMessage.LeaseReply(tell.requestId(), may));
            }
        } else if (message instanceof RolloutMessage.LeaseReply renewed) {
            renewed(from, renewed.requestId(), renewed.granted());
        } else if (message instanceof RolloutMessage.ChunkRequest want) {
            byte[] all = bytes.get(want.hash());
            if (all != null) {
                VersionDownload.slice(want, all).ifPresent(piece -> send.accept(from, piece));
            }
        } else if (message instanceof RolloutMessage.VersionOffer offer) {
            offered(from, offer, now);
        } else if (message instanceof RolloutMessage.VersionStored told) {
            if (offered == null
                    || !voters.contains(from)
                    || !told.hash().equals(offered.target().hash())) {
                return;
            }
            have.add(from);
            // Whoever published it may die now: it is brought out all the same.
            if (have.size() < ReplicaPlacement.quorumSize(voters.size())) {
                return;
            }
            wish(offered);
            offered = null;
        } else if (message instanceof RolloutMessage.Chunk piece) {
            taken.accept(piece, now)
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
                                                            new RolloutMessage.VersionStored(
                                                                    piece.hash())));
                                } else {
                                    taken.discardCorrupt(now);
                                }
                            });
            take(now);
            gather.accept(piece, now)
                    .ifPresent(
                            all -> {
                                if (!hash(all).equals(piece.hash())) {
                                    gather.discardCorrupt(now);
                                    return;
                                }
                                keep(piece.hash(), all, () -> {});
                                follow();
                            });
            for (OutboundChunkRequest ask : gather.tick(sources(), now)) {
                send.accept(ask.recipient(), ask.request());
            }
        }
    }

    /**
     * What each voter knows of the others' audits is in its own: a lost tail, or one that was
     * written anew, is seen by that.
     */
    private void witness(String from, RolloutMessage.StatusReport tell, Duration now) {
        Duration last = witnessed.get(from);
        if (tell.auditRecordNumber() == 0
                || from.equals(name)
                || last != null && now.minus(last).compareTo(WITNESSES) < 0) {
            return;
        }
        witnessed.put(from, now);
        acts.told(
                What.WITNESSED,
                acting,
                from + ' ' + tell.auditRecordNumber() + ' ' + tell.auditHash());
    }

    private void take(Duration now) {
        if (offeredBy != null) {
            for (OutboundChunkRequest ask : taken.tick(List.of(offeredBy), now)) {
                send.accept(ask.recipient(), ask.request());
            }
        }
    }

    private void offer() {
        for (String each : voters) {
            if (!each.equals(name) && !have.contains(each)) {
                send.accept(
                        each,
                        new RolloutMessage.VersionOffer(
                                offered.target().hash(), offered.target().sizeBytes()));
            }
        }
    }

    private void offered(String by, RolloutMessage.VersionOffer offer, Duration now) {
        if (!voters.contains(name) || !voters.contains(by)) {
            return;
        }
        if (bytes.containsKey(offer.hash())) {
            send.accept(by, new RolloutMessage.VersionStored(offer.hash()));
            return;
        }
        offeredBy = by;
        taken.start(new PublishedVersion(1, offer.hash(), offer.size(), "", "", ""), now);
        take(now);
    }

    private void renewed(String from, long question, boolean may) {
        if (may) {
            lease.recordGrant(from, question);
        }
    }

    // ---- a voter's part

    /**
     * What this voter wishes to have agreed on: a person's word first, then what follows from what
     * is seen.
     */
    Optional<ReplicaPlacement> next(ReplicaPlacement agreed) {
        Set<String> live = new HashSet<>();
        for (MemberSnapshot each : view.get()) {
            if (each.member().state().isLive()) {
                live.add(each.member().id().name());
            }
        }
        reports.keySet().retainAll(live);
        outNow = doorkeeper.fencedServers().size();
        if (wished != null) {
            return Optional.of(agreed.with(wished));
        }
        return rollouts.nextState(agreed, live, schedule.now()).map(agreed::with);
    }

    /** What the operators' commands say; each answer is JSON with what came of it. */
    String publish(String by, String reason, String leastBuild, byte[] all) {
        if (!voters.contains(name)) {
            return refusal("this server is no voter: ask one of " + voters);
        }
        if (all.length == 0 || all.length > PublishedVersion.MAX_BYTES) {
            return refusal("a version has 1 to " + PublishedVersion.MAX_BYTES + " bytes");
        }
        RolloutState rollout = layout.rollout();
        if (!rollout.isComplete() || wished != null || offered != null) {
            return refusal(
                    "version "
                            + rollout.target().number()
                            + " is being brought out: one at a time");
        }
        String fault = acts.check(all);
        if (fault != null) {
            return refusal(fault);
        }
        PublishedVersion next;
        try {
            next =
                    new PublishedVersion(
                            rollout.target().number() + 1,
                            hash(all),
                            all.length,
                            leastBuild,
                            by,
                            reason);
        } catch (IllegalArgumentException e) {
            return refusal(e.getMessage());
        }
        offered = rollout.startRollout(next);
        RolloutState mine = offered;
        have.clear();
        keep(
                next.hash(),
                all,
                () -> {
                    if (offered != mine) {
                        return;
                    }
                    received(name, new RolloutMessage.VersionStored(next.hash()));
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

    private void wish(RolloutState next) {
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
        RolloutState rollout = layout.rollout();
        RolloutState next =
                switch (word) {
                    case "pause" ->
                            rollout.phase() == RolloutPhase.RUNNING
                                    ? rollout.withPhase(RolloutPhase.PAUSED)
                                    : null;
                    case "go-on" ->
                            rollout.isComplete() || rollout.phase() == RolloutPhase.RUNNING
                                    ? null
                                    : rollout.withPhase(RolloutPhase.RUNNING);
                    case "take-back" ->
                            rollout.target().number() == 0
                                            || rollout.previous().equals(rollout.target())
                                    ? null
                                    : rollout.rolledBack(by, "taken back by " + by);
                    default -> null;
                };
        if (next == null) {
            return refusal(
                    "there is nothing to "
                            + word
                            + ": "
                            + rollout.phase().externalName()
                            + " at version "
                            + rollout.target().number());
        }
        wish(next);
        return JsonText.object(to -> to.writeStringField("wished", word));
    }

    /** All that there is to tell of versions. */
    String status() {
        RolloutState rollout = layout.rollout();
        return JsonText.object(
                to -> {
                    to.writeStringField("name", name);
                    to.writeNumberField("acts", acting.number());
                    to.writeStringField("hash", acting.hash());
                    to.writeNumberField("version", rollout.target().number());
                    to.writeNumberField("before", rollout.previous().number());
                    to.writeStringField("why", rollout.target().reason());
                    to.writeStringField("by", rollout.target().publisher());
                    to.writeStringField("state", rollout.phase().externalName());
                    to.writeNumberField("stage", rollout.stage());
                    to.writeStringField("halted", rollouts.haltReason());
                    to.writeBooleanField("may", may());
                    to.writeNumberField(
                            "lease_left_ms",
                            Math.max(0, lease.expiresAt().minus(schedule.now()).toMillis()));
                    to.writeStringField("refused", refused == 0 ? "" : refused + ": " + why);
                    to.writeObjectFieldStart("servers");
                    for (Map.Entry<String, VersionReport> each :
                            new TreeMap<>(reports).entrySet()) {
                        to.writeObjectFieldStart(each.getKey());
                        to.writeNumberField("acts", each.getValue().activeVersion());
                        to.writeNumberField("read", each.getValue().candidate().answered());
                        to.writeNumberField("refused", each.getValue().rejectedVersion());
                        to.writeBooleanField(
                                "out", doorkeeper.fencedServers().contains(each.getKey()));
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
