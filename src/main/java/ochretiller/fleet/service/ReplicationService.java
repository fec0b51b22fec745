package ochretiller.fleet.service;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.EpochConsensus;
import ochretiller.fleet.consensus.OutboundConsensusMessage;
import ochretiller.fleet.consensus.PlacementPlanner;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.replication.AssembledResult;
import ochretiller.fleet.replication.ChunkAssembler;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimIntent;
import ochretiller.fleet.replication.ClaimModes;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ClaimRequirement;
import ochretiller.fleet.replication.CompletedClaim;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SubmittedChange;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.transport.ReplicationCodec;
import ochretiller.metrics.Metrics;
import ochretiller.net.Scheduler;
import ochretiller.store.Store;

/**
 * Carries out what is decided about epochs, claims and copies, on the one thread. Where results are
 * remembered a keeper's entries are in the same store, and each of its words is on disk before it
 * leaves; else they are in memory, and one that was started again counts once the others have told
 * it. What a voter promises is on disk before it is said.
 */
public final class ReplicationService {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());
    private static final Duration TICK = Duration.ofMillis(20);

    /** Voters tell all others what is in force, and ask and attempt, at spans moved by chance. */
    private static final Duration SPEAK = Duration.ofMillis(500);

    /** Servers that each voter tells of the epoch each time: who has missed it says so itself. */
    private static final int TELLS = 4;

    /** An attempt that is not agreed on by then is made again. */
    private static final Duration ATTEMPT = Duration.ofSeconds(1);

    /** One of so many ticks compares a range with another keeper. */
    private static final int COMPARES = 25;

    /** Results that were asked for here lately, and are answered from here. */
    private static final int NEAR = 1_000;

    private static final int WRITES = 64;

    /** Starts with one disk that are remembered. */
    private static final int STARTS = 64;

    /**
     * Who is there is looked up so often, and the place on the disk is written anew at least so
     * often while anything changes.
     */
    private static final Duration LOOKS = Duration.ofMillis(500);

    private static final Duration PLACES = Duration.ofSeconds(1);

    /** Conflicts that get a line each, with both sides. */
    private static final int CONFLICT_LINES = 20;

    private final Scheduler schedule;
    private final ReplicationSettings settings;
    private final String name;
    private final Duration longest;
    private final RandomGenerator chance;
    private final BiConsumer<String, Object> send;
    private final Supplier<List<MemberSnapshot>> view;
    private final ClaimCoordinator claims;
    private final ClaimModes modes;
    private final PlacementPlanner wish;
    private final ResultCache shelf;
    private final DurabilityBarrier commit;

    /** Null where nothing outlives a restart. */
    private final ReplicaStorage disk;

    private final ReplicaStorage.Found found;
    private final List<Long> starts;
    private final ReplicaLimits bounds;
    private final AcceptorFile file;
    private final BackgroundWriter writer;
    private final Map<String, ClaimOutcome> near = BoundedMap.evictingLeastRecentlyUsed(NEAR);
    private final Metrics.Counter asked;
    private final Metrics.Counter granted;
    private final Metrics.Counter replayed;
    private final Metrics.Counter throttled;
    private final Metrics.Counter unknown;
    private final Metrics.Counter unkept;
    private final Metrics.Counter still;
    private final ClaimLatency waits = new ClaimLatency();
    private final Metrics.Counter settledNever;
    private final Metrics.Counter settledEnds;
    private final long start;

    /** Null for a server that is no voter. */
    private EpochConsensus voter;

    /** What is on its disk, and what was handed over to be written last. */
    private AcceptorState durable;

    private AcceptorState handed;

    /** Null where no versions are brought out. */
    private RolloutService versions;

    /** Null until an epoch is known. */
    private Replica keeper;

    /** Null where nothing outlives a restart. */
    private PreviousIncarnation former;

    private Duration attempted = Duration.ZERO.minusSeconds(60);
    private Duration spoken = Duration.ZERO;
    private Duration looked = Duration.ZERO;
    private Duration placed = Duration.ZERO;
    private long placedNumber = -1;
    private boolean silent;
    private boolean closed;
    private int conflictLines;
    private boolean wasReturning;
    private boolean wasBehind;
    private boolean wasSick;
    private Duration behindSince;
    private volatile Figures figures =
            new Figures(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** What is told of it at a time; one piece, since it is read from another thread. */
    private record Figures(
            long epoch,
            int behind,
            int entries,
            long bytes,
            long conflicts,
            double limit,
            int hints,
            double gap,
            long fetched,
            long sent,
            long compares,
            long differed,
            int waiting,
            long unsaid,
            long hedged,
            long again,
            long oldDisks) {}

    private long epochNow;

    /**
     * @param longest the longest window of a token
     * @param send sends to a server by its name
     * @param store where entries are kept, not started yet; null where they are kept in memory
     */
    ReplicationService(
            Scheduler schedule,
            ReplicationSettings settings,
            String name,
            long start,
            Duration longest,
            RandomGenerator chance,
            Metrics metrics,
            BiConsumer<String, Object> send,
            Supplier<List<MemberSnapshot>> view,
            Store store) {
        this.schedule = schedule;
        this.settings = settings;
        this.name = name;
        this.longest = longest;
        this.start = start;
        this.chance = chance;
        this.send = send;
        this.modes = new ClaimModes(settings.modes(), longest, schedule.now());
        this.view = view;
        this.wish = new PlacementPlanner(settings.calm(), longest, settings.factor());
        boolean votes = settings.voters().contains(name);
        file = votes ? new AcceptorFile(settings.voterFile()) : null;
        durable = votes ? file.read() : null;
        voter =
                votes
                        ? (durable == null
                                ? EpochConsensus.recover(
                                        name,
                                        Set.copyOf(settings.voters()),
                                        settings.factor(),
                                        chance.nextLong())
                                : EpochConsensus.resume(
                                        name,
                                        Set.copyOf(settings.voters()),
                                        durable,
                                        chance.nextLong()))
                        : null;
        writer = votes ? new BackgroundWriter("voter", WRITES) : null;
        bounds =
                new ReplicaLimits(
                        settings.most(), settings.mostBytes(), settings.catchUp(), longest);
        disk = store == null ? null : new ReplicaStorage(store, longest);
        found =
                disk == null
                        ? new ReplicaStorage.Found(null, Map.of(), 0, ReplicaStorage.Place.NONE)
                        : disk.read(schedule.now());
        shelf = new ResultCache(disk, settings.mostBytes() / 2);
        commit = new DurabilityBarrier(chance);
        if (found.disk() != null) {
            keeper = Replica.recover(name, found.disk(), bounds, schedule.now());
            epochNow = keeper.placement().epoch();
            LOG.info(
                    () ->
                            "fleet: kept "
                                    + keeper.statistics().entries()
                                    + " tokens of "
                                    + keeper.placement()
                                    + ", "
                                    + keeper.laggingRangeCount()
                                    + " ranges behind; asks the others whether it missed any");
        }
        claims =
                new ClaimCoordinator(
                        name,
                        start,
                        keeper == null
                                ? ReplicaPlacement.empty(settings.factor())
                                : keeper.placement(),
                        chance);
        claims.restoreChangeNumbers(found.place().heard());
        starts = starts(found.place().starts(), start);
        asked =
                metrics.counter(
                        "fleet_claims_total", "Tokened invocations whose claim was asked for");
        granted =
                metrics.counter(
                        "fleet_claims_granted_total", "Claims that a majority of keepers granted");
        replayed =
                metrics.counter(
                        "fleet_claims_replayed_total",
                        "Repeats that were answered with a result from the fleet");
        throttled =
                metrics.counter(
                        "fleet_claims_throttled_total",
                        "Claims without a majority, which were not run");
        unknown =
                metrics.counter(
                        "fleet_claims_unknown_total",
                        "Repeats of what another has claimed and nobody knows the end of");
        still =
                metrics.counter(
                        "fleet_claims_still_total",
                        "Claims of operations in server mode, as long as others may have claimed"
                                + " their tokens for the fleet");
        unkept =
                metrics.counter(
                        "fleet_ends_unkept_total",
                        "Ends that no majority had kept when their answer was due");
        settledNever =
                metrics.counter(
                        "fleet_former_never_ran_total",
                        "Claims of a former process of this server that it could prove never to"
                                + " have run");
        settledEnds =
                metrics.counter(
                        "fleet_former_ends_total",
                        "Claims of a former process of this server whose ends it could tell");
        figures(metrics);
    }

    /** The last of the starts that had this disk, this one among them. */
    private static List<Long> starts(List<Long> former, long start) {
        List<Long> all = new ArrayList<>(former);
        all.add(start);
        return List.copyOf(all.subList(Math.max(0, all.size() - STARTS), all.size()));
    }

    private void figures(Metrics metrics) {
        metrics.gauge(
                "fleet_epoch", "The epoch in force, as this server knows it", () -> figures.epoch);
        metrics.gauge(
                "fleet_ranges_behind",
                "Ranges that this server keeps and does not have whole",
                () -> figures.behind);
        metrics.gauge(
                "fleet_oldest_gap_seconds",
                "How long the range that has waited longest is not whole",
                () -> figures.gap);
        metrics.gauge(
                "fleet_entries",
                "Tokens that this server keeps for the fleet",
                () -> figures.entries);
        metrics.gauge("fleet_entries_bytes", "Bytes of those, as reckoned", () -> figures.bytes);
        metrics.gauge(
                "fleet_claim_p50_seconds",
                "Half of the last 1,024 granted claims had their majority within this",
                () -> waits.seconds(50));
        metrics.gauge("fleet_claim_p99_seconds", "Of those, 99 of 100", () -> waits.seconds(99));
        metrics.gauge("fleet_claim_limit", "Claims that may be under way", () -> figures.limit);
        metrics.gauge(
                "fleet_hints",
                "Ranges that have changed while a keeper of them is away, or is yet to be told so",
                () -> figures.hints);
        metrics.gauge(
                "fleet_words_waiting",
                "A keeper's words that wait for the disk",
                () -> figures.waiting);
        metrics.counted(
                "fleet_words_unsaid_total",
                "A keeper's words that were not said, since the disk did not take what they rest"
                        + " on",
                () -> figures.unsaid);
        metrics.counted(
                "fleet_conflicts_total",
                "Tokens with two ends, which must not be",
                () -> figures.conflicts);
        metrics.counted(
                "fleet_repair_fetched_bytes_total",
                "Bytes of entries fetched from other keepers, as reckoned",
                () -> figures.fetched);
        metrics.counted(
                "fleet_repair_sent_bytes_total",
                "Bytes of entries sent to other keepers, as reckoned",
                () -> figures.sent);
        metrics.counted(
                "fleet_compares_total",
                "Ranges compared with another keeper",
                () -> figures.compares);
        metrics.counted(
                "fleet_compares_differed_total",
                "Ranges that another keeper had otherwise",
                () -> figures.differed);
        metrics.counted(
                "fleet_claims_hedged_total",
                "Keepers asked beyond a majority, since another was late",
                () -> figures.hedged);
        metrics.counted(
                "fleet_claims_again_total",
                "Questions to keepers that were said again",
                () -> figures.again);
        metrics.counted(
                "fleet_old_disks_total",
                "Times that this server's disk was found older than its word",
                () -> figures.oldDisks);
    }

    /** Versions go by the epochs of these copies. */
    void bring(RolloutService all) {
        versions = all;
    }

    void start() {
        if (versions != null && epochNow > 0) {
            versions.become(claims.placement());
        }
        if (voter != null && epochNow > 0) {
            voter.receive(name, new ConsensusMessage.Committed(claims.placement()));
        }
        if (voter != null && !voter.hasLostState()) {
            learn(voter.committed());
        }
        tick();
    }

    /** Another bears this server's name: nothing that it says may count. */
    void silence() {
        silent = true;
    }

    void close() {
        closed = true;
        if (writer != null) {
            writer.close();
        }
        if (versions != null) {
            versions.close();
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        Duration now = schedule.now();
        claims.tick(now);
        if (versions != null) {
            versions.tick();
        }
        if (keeper != null) {
            tick(now);
        }
        if (now.minus(spoken).compareTo(SPEAK) >= 0) {
            spoken =
                    now.minus(Duration.ofNanos((long) (SPEAK.toNanos() / 2 * chance.nextDouble())));
            stand();
            if (voter != null) {
                vote(now);
            }
        }
        carryOut();
        schedule.after(TICK, this::tick);
    }

    /**
     * Keepers say to all voters how far they are, since the next epoch waits for it; others ask one
     * whether they have missed any.
     */
    private void stand() {
        boolean keeps = keeper != null && claims.placement().contains(name);
        int behind =
                !keeps
                        ? 0
                        : keeper.isCheckingDisk()
                                ? ReplicaPlacement.RANGE_COUNT
                                : keeper.laggingRangeCount();
        ConsensusMessage.ReplicaProgress standing =
                new ConsensusMessage.ReplicaProgress(epochNow, behind);
        if (keeps) {
            settings.voters().forEach(to -> out(to, standing));
        } else {
            out(settings.voters().get(chance.nextInt(settings.voters().size())), standing);
        }
    }

    private void tick(Duration now) {
        keeper.tick(now);
        if (chance.nextInt(COMPARES) == 0) {
            keeper.compareRandomRange(chance);
        }
        if (now.minus(looked).compareTo(LOOKS) >= 0) {
            looked = now;
            Set<String> live = new HashSet<>();
            for (MemberSnapshot seen : view.get()) {
                if (seen.member().state().isLive()) {
                    live.add(seen.member().id().name());
                }
            }
            keeper.observeLivePeers(live);
            conflicts();
            waits.publish();
            figures(now);
        }
        if (disk != null) {
            commit.retryWrites(now).forEach(this::write);
        }
        tell(now);
    }

    private void figures(Duration now) {
        figures =
                new Figures(
                        epochNow,
                        keeper.laggingRangeCount(),
                        keeper.statistics().entries(),
                        keeper.statistics().estimatedBytes(),
                        keeper.statistics().conflicts(),
                        claims.concurrencyLimit(),
                        keeper.statistics().hints(),
                        keeper.oldestLag(now).toNanos() / 1e9,
                        keeper.statistics().receivedBytes(),
                        keeper.statistics().sentBytes(),
                        keeper.statistics().comparisons(),
                        keeper.statistics().differences(),
                        commit.waitingMessages(),
                        commit.droppedMessages(),
                        claims.hedgedRequests(),
                        claims.retriedRequests(),
                        keeper.statistics().staleDisks());
    }

    /**
     * Lines on what operators wait for: each state when it begins and ends, and not how it goes on.
     */
    private void tell(Duration now) {
        boolean returning = keeper.isCheckingDisk();
        if (wasReturning && !returning) {
            LOG.info(
                    keeper.statistics().staleDisks() > 0
                            ? "fleet: the disk is older than this server's last word: what it kept"
                                    + " is fetched from the others"
                            : "fleet: nobody knows of a later word than the disk has: it counts as"
                                    + " a keeper");
        }
        wasReturning = returning;
        boolean behind = keeper.laggingRangeCount() > 0;
        if (behind && !wasBehind) {
            behindSince = now;
        }
        if (behind != wasBehind) {
            int ranges = keeper.laggingRangeCount();
            long entries = keeper.statistics().receivedEntries();
            long took = now.minus(behindSince).toMillis();
            LOG.info(
                    behind
                            ? "fleet: fetches " + ranges + " ranges"
                            : "fleet: has all its ranges whole, behind "
                                    + took
                                    + " ms; fetched "
                                    + entries
                                    + " entries since its start");
        }
        wasBehind = behind;
        if (commit.isDegraded() != wasSick) {
            LOG.warning(
                    commit.isDegraded()
                            ? "fleet: the disk does not take what this server keeps: it says"
                                    + " nothing as a keeper"
                            : "fleet: the disk takes what this server keeps again");
        }
        wasSick = commit.isDegraded();
    }

    private void conflicts() {
        for (String token : keeper.takeConflictingTokens()) {
            if (++conflictLines > CONFLICT_LINES) {
                return;
            }
            LOG.severe(
                    () ->
                            "fleet: token "
                                    + token
                                    + " has two ends, which must not be: "
                                    + keeper.entry(token).outcomes().keySet()
                                    + "; it is answered with the first");
        }
    }

    private void vote(Duration now) {
        if (voter.hasLostState()) {
            voter.requestRecovery();
            return;
        }
        Map<String, Boolean> there = new HashMap<>();
        List<ReplicaServer> servers = new ArrayList<>();
        for (MemberSnapshot seen : view.get()) {
            String other = seen.member().id().name();
            boolean live = seen.member().state().isLive();
            if (live || !there.containsKey(other)) {
                there.put(other, live); // a start that is gone may have a successor
            }
            if (live) {
                servers.add(new ReplicaServer(other, seen.member().zone()));
            }
        }
        // Whom the view has forgotten altogether is as gone as one that it remembers.
        for (ReplicaServer each : voter.committed().servers()) {
            there.putIfAbsent(each.name(), false);
        }
        wish.observe(there, now);
        if (voter.committed().epoch() > 0) {
            List<ReplicaServer> told = new ArrayList<>(servers);
            for (int i = 0; i < TELLS && !told.isEmpty(); i++) {
                ReplicaServer each = told.remove(chance.nextInt(told.size()));
                if (!each.name().equals(name)) {
                    out(each.name(), new ConsensusMessage.Committed(voter.committed()));
                }
            }
        }
        if (voter.isProposing() && now.minus(attempted).compareTo(ATTEMPT) < 0) {
            return;
        }
        wish.nextPlacement(voter.committed(), servers, now)
                .or(
                        () ->
                                versions == null || voter.committed().epoch() == 0
                                        ? Optional.empty()
                                        : versions.next(voter.committed()))
                .ifPresent(
                        layout -> {
                            attempted = now;
                            voter.propose(layout);
                        });
    }

    private void out(String to, Object message) {
        if (silent) {
            return;
        }
        if (to.equals(name)) {
            schedule.post(() -> received(name, message));
        } else {
            send.accept(to, message);
        }
    }

    /** Another server's word, under the name that it bears in the view. */
    void received(String from, Object message) {
        if (closed || silent) {
            return;
        }
        Duration now = schedule.now();
        if (message instanceof ConsensusMessage word) {
            if (voter != null) {
                voter.receive(from, word);
            }
            if (word instanceof ConsensusMessage.ReplicaProgress standing) {
                stands(from, standing);
            }
            if (word instanceof ConsensusMessage.Committed agreed
                    && settings.voters().contains(from)) {
                learn(agreed.placement());
            }
            // Guards against voters that have all lost what they promised: what is in force is
            // known to others, too.
            boolean asks =
                    word instanceof ConsensusMessage.RecoveryQuery
                            || word instanceof ConsensusMessage.Committed agreed
                                    && agreed.placement().epoch() < epochNow;
            if (asks && epochNow > 0 && !from.equals(name) && settings.voters().contains(from)) {
                out(from, new ConsensusMessage.Committed(claims.placement()));
            }
        } else if (message instanceof RolloutMessage word) {
            if (versions != null) {
                versions.received(from, word);
            }
        } else if (message instanceof ReplicationMessage word) {
            if (word instanceof ReplicationMessage.RangeRequest fetch
                    && fetch.placement().isPresent()) {
                learn(fetch.placement().get());
            }
            if (word instanceof ReplicationMessage.ClaimRequest claim && !from.equals(name)) {
                modes.claimObserved(operation(claim.fingerprint()), claim.transitional(), now);
            }
            if (word instanceof ReplicationMessage.ChunkRequest want) {
                wanted(from, want);
            }
            if (word instanceof ReplicationMessage.OwnerQuery whether) {
                formerly(whether);
            }
            if (keeper != null) {
                keeper.receive(from, word, now);
            }
            claims.receive(from, word, now);
        }
        carryOut();
    }

    private void stands(String from, ConsensusMessage.ReplicaProgress standing) {
        wish.recordProgress(from, standing);
        boolean missed =
                voter != null
                        && !voter.hasLostState()
                        && standing.epoch() < voter.committed().epoch();
        if (missed && !from.equals(name)) {
            out(from, new ConsensusMessage.Committed(voter.committed()));
        }
    }

    private void learn(ReplicaPlacement layout) {
        if (layout.epoch() == 0) {
            return;
        }
        Duration now = schedule.now();
        if (layout.epoch() > epochNow) {
            LOG.info(() -> "fleet: " + layout + " is in force");
        }
        epochNow = Math.max(epochNow, layout.epoch());
        if (keeper == null) {
            // A number over all that it has ever told, as long as the Unix clock is not set back;
            // if it is, its next start finds its disk old, without harm.
            long first = Math.max(found.number() + 1, System.currentTimeMillis() * 1000);
            keeper = Replica.withoutDisk(name, layout, first, bounds, now);
            found.entries().forEach((token, entry) -> keeper.restore(token, entry));
        } else {
            keeper.adoptPlacement(layout, now);
        }
        claims.adoptPlacement(layout, now);
        if (versions != null) {
            versions.become(claims.placement());
        }
    }

    private void carryOut() {
        if (voter != null) {
            carryOutVoter();
        }
        for (OutboundMessage each : claims.takeOutbound()) {
            out(each.recipient(), each.message());
        }
        if (keeper != null) {
            carryOutKeeper();
        }
    }

    private void carryOutKeeper() {
        Duration now = schedule.now();
        for (AssembledResult whole : keeper.takeAssembledResults()) {
            Duration until = keeper.entry(whole.token()).expiresAt();
            shelf.keep(
                    whole.token(),
                    whole.claimId(),
                    whole.result(),
                    until,
                    now,
                    kept -> {
                        if (closed || !kept) {
                            return;
                        }
                        keeper.resultStored(whole);
                        carryOut();
                    });
        }
        List<String> tokens = keeper.takeChangedTokens();
        boolean moved = keeper.takeMetadataChanged();
        if (disk == null) {
            for (OutboundMessage each : keeper.takeOutbound()) {
                out(each.recipient(), each.message());
            }
            return;
        }
        // So that a start knows how far it had come when all that it wrote since is past its
        // window.
        if (now.minus(placed).compareTo(PLACES) >= 0 && keeper.changeNumber() != placedNumber) {
            moved = true;
        }
        if (moved) {
            placed = now;
            placedNumber = keeper.changeNumber();
        }
        SubmittedChange change = commit.submit(tokens, moved, keeper.takeOutbound());
        change.writes().forEach(this::write);
        for (OutboundMessage each : change.sendable()) {
            out(each.recipient(), each.message());
        }
    }

    private void write(PendingWrite write) {
        ReplicaStorage.Place with =
                write.token().isPresent()
                        ? ReplicaStorage.Place.NONE
                        : new ReplicaStorage.Place(claims.observedChangeNumbers(), starts);
        disk.write(
                write,
                keeper,
                with,
                schedule.now(),
                durable -> {
                    if (closed) {
                        return;
                    }
                    for (OutboundMessage each :
                            commit.acknowledge(write, durable, schedule.now())) {
                        out(each.recipient(), each.message());
                    }
                });
    }

    /** What former processes have left is told by this. */
    public void remembers(PreviousIncarnation told) {
        former = told;
    }

    /**
     * Does a claim of a former process run? Its mark was on this disk before it was begun, so a
     * disk that is whole and as new as this server's last word tells. One that lacks anything
     * proves nothing.
     */
    private void formerly(ReplicationMessage.OwnerQuery whether) {
        ClaimId id = whether.claimId();
        boolean mine =
                id.server().equals(name)
                        && id.incarnation() != start
                        && found.place().starts().contains(id.incarnation());
        boolean proves =
                former != null
                        && found.disk() != null
                        && keeper != null
                        && !keeper.isCheckingDisk()
                        && keeper.statistics().staleDisks() == 0;
        if (!mine || !proves || !ReplicationCodec.tokenFits(whether.token())) {
            return;
        }
        former.ask(
                whether.token(),
                known -> {
                    if (closed) {
                        return;
                    }
                    Duration now = schedule.now();
                    if (known.kind() == PreviousIncarnation.Kind.NEVER) {
                        settledNever.add();
                        claims.releaseClaim(whether.token(), id, now.plus(longest), now);
                    } else if (known.kind() == PreviousIncarnation.Kind.ENDED) {
                        settledEnds.add();
                        CompletedClaim completed =
                                completed(
                                        id, known.body(), known.result(), now, known.windowEnds());
                        claims.reportPreviousOutcome(whether.token(), completed, now);
                    }
                    carryOut();
                });
    }

    private static String text(byte[] result) {
        return new String(result, StandardCharsets.ISO_8859_1);
    }

    private static CompletedClaim completed(
            ClaimId id, String body, byte[] result, Duration due, Duration windowEnds) {
        ClaimOutcome outcome = outcome(body, result);
        Optional<String> chunked =
                outcome.isChunked() ? Optional.of(text(result)) : Optional.empty();
        return new CompletedClaim(id, outcome, chunked, due, windowEnds);
    }

    /**
     * Of a result that is longer than is kept only its end is told: its repeats elsewhere are
     * errored, and never run.
     */
    private static ClaimOutcome outcome(String body, byte[] result) {
        if (result == null || result.length > ClaimOutcome.MAX_RESULT_BYTES) {
            return new ClaimOutcome(false, body, "");
        }
        return result.length > ClaimOutcome.MAX_INLINE_BYTES
                ? ClaimOutcome.chunked(body, text(result))
                : new ClaimOutcome(true, body, text(result));
    }

    /** A piece of a long result is asked for: of a run of this server's, or of what it keeps. */
    private void wanted(String from, ReplicationMessage.ChunkRequest want) {
        Optional<String> own = claims.pendingResult(want.claimId());
        if (own.isPresent()) {
            piece(from, want, own.get());
        } else {
            shelf.result(want.token(), want.claimId(), result -> piece(from, want, result));
        }
    }

    private void piece(String to, ReplicationMessage.ChunkRequest want, String result) {
        if (closed || result == null) {
            return;
        }
        ChunkAssembler.slice(want, result).ifPresent(piece -> out(to, piece));
    }

    /** What a voter says leaves once what it has promised is on disk. */
    private void carryOutVoter() {
        if (!voter.hasLostState() && voter.committed().epoch() > epochNow) {
            learn(voter.committed());
        }
        List<OutboundConsensusMessage> outs = voter.takeOutbound();
        AcceptorState promised = voter.durableState();
        if (voter.hasLostState() || promised.equals(durable)) {
            outs.forEach(this::say);
            return;
        }
        if (outs.isEmpty() && promised.equals(handed)) {
            return;
        }
        handed = promised;
        boolean taken =
                writer.take(
                        () -> {
                            try {
                                file.write(promised);
                                schedule.post(
                                        () -> {
                                            durable = promised;
                                            outs.forEach(this::say);
                                        });
                            } catch (IOException e) {
                                // What is not on disk is not said: to the others it was lost on the
                                // way.
                                LOG.warning(
                                        "the voter's file cannot be written: " + e.getMessage());
                            }
                        });
        if (!taken) {
            LOG.fine("the voter's disk is far behind"); // what is not on disk is not said, as above
        }
    }

    private void say(OutboundConsensusMessage each) {
        if (closed) {
            return;
        }
        if (each.recipient().isPresent()) {
            out(each.recipient().get(), each.message());
            return;
        }
        Set<String> told = new LinkedHashSet<>(settings.voters());
        if (each.message() instanceof ConsensusMessage.RecoveryQuery) {
            for (MemberSnapshot seen : view.get()) {
                if (seen.member().state().isLive()) {
                    told.add(seen.member().id().name());
                }
            }
        }
        if (each.message() instanceof ConsensusMessage.Committed agreed) {
            agreed.placement().servers().forEach(one -> told.add(one.name()));
        }
        told.remove(name);
        told.forEach(to -> out(to, each.message()));
    }

    /** What the operators' commands are told. */
    ReplicationStatusJson told() {
        return new ReplicationStatusJson(new Inside());
    }

    /**
     * All ranges that this server keeps are compared with all others that keep them, in their turn.
     */
    String repair() {
        int compares = keeper == null ? 0 : keeper.compareAllRanges();
        LOG.info(
                "fleet: told by the operators' command to compare all ranges, "
                        + compares
                        + " comparisons");
        return "{\"compares\":" + compares + "}";
    }

    /** What there is to tell of. */
    final class Inside {
        String name() {
            return name;
        }

        Duration now() {
            return schedule.now();
        }

        ReplicaPlacement layout() {
            return claims.placement();
        }

        Replica keeper() {
            return keeper;
        }

        int underWay() {
            return claims.inFlight();
        }

        double limit() {
            return claims.concurrencyLimit();
        }

        int wordsWaiting() {
            return commit.waitingMessages();
        }

        String disk() {
            return disk == null ? "none" : commit.isDegraded() ? "sick" : "well";
        }
    }

    /**
     * What a request asks for, as claims and ends name it: its operation and a hash of its body.
     */
    public static String body(String operation, byte[] hash) {
        return operation + ' ' + HexFormat.of().formatHex(hash);
    }

    private static String operation(String body) {
        int space = body.lastIndexOf(' ');
        return space < 0 ? "" : body.substring(0, space);
    }

    /**
     * Asks the fleet whether a tokened invocation may run here; {@code then} is handed the one
     * verdict.
     *
     * @param body {@link #body} of what it asks for
     * @param due when its run has to begin at the latest
     * @param windowEnds end of its window
     */
    public void claim(
            String token,
            String body,
            Duration due,
            Duration windowEnds,
            Consumer<ClaimDecision> then) {
        Duration began = schedule.now();
        ClaimRequirement before = modes.requirementFor(operation(body), began);
        if (before == ClaimRequirement.NOT_REQUIRED) {
            then.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.RUN));
            return;
        }
        asked.add();
        if (before == ClaimRequirement.REQUIRED_TRANSITIONALLY) {
            still.add();
        }
        if (!ReplicationCodec.tokenFits(token)) {
            throttled.add();
            then.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.THROTTLED));
            return;
        }
        ClaimOutcome known = near.get(token);
        if (known != null
                && known.succeeded()
                && known.fingerprint().equals(body)
                && !known.result().isEmpty()) {
            replayed.add();
            then.accept(ClaimDecision.replayOf(known));
            return;
        }
        claims.claim(
                new ClaimIntent(
                        token,
                        body,
                        before == ClaimRequirement.REQUIRED_TRANSITIONALLY,
                        due,
                        windowEnds),
                began,
                verdict -> told(token, began, windowEnds, verdict, then));
        carryOut();
    }

    private void told(
            String token,
            Duration began,
            Duration windowEnds,
            ClaimDecision verdict,
            Consumer<ClaimDecision> then) {
        switch (verdict.kind()) {
            case RUN -> {
                granted.add();
                waits.add(schedule.now().minus(began));
            }
            case REPLAY -> {
                replayed.add();
                // Guards against a memory full of long results: those are fetched again.
                if (verdict.outcome().orElseThrow().isChunked()) {
                    break;
                }
                near.put(token, verdict.outcome().orElseThrow());
                // It may be known again by one window more than it should: a repeat behind its
                // window is its caller's fault.
                schedule.after(
                        windowEnds.minus(schedule.now()).isNegative()
                                ? Duration.ZERO
                                : windowEnds.minus(schedule.now()),
                        () -> near.remove(token));
            }
            case THROTTLED -> throttled.add();
            case OUTCOME_UNKNOWN -> unknown.add();
            default -> {}
        }
        then.accept(verdict);
    }

    /** A claimed run has never begun: its token is free again. */
    public void neverRan(ClaimId claim, Duration windowEnds) {
        claims.releaseClaim(claim, windowEnds, schedule.now());
        carryOut();
    }

    /**
     * A claimed run has ended; {@code then} is handed, once, whether a majority keeps its end by
     * its due time.
     *
     * @param result null where it did not succeed
     */
    public void ended(
            ClaimId claim,
            String body,
            byte[] result,
            Duration due,
            Duration windowEnds,
            Consumer<Boolean> then) {
        claims.reportOutcome(
                completed(claim, body, result, due, windowEnds),
                schedule.now(),
                good -> {
                    if (!good) {
                        unkept.add();
                    }
                    then.accept(good);
                });
        carryOut();
    }
}
