package ochretiller.fleet.peers;

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
import ochretiller.bounds.Bounded;
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.Claims;
import ochretiller.fleet.copies.Commit;
import ochretiller.fleet.copies.CopyMessage;
import ochretiller.fleet.copies.Keeper;
import ochretiller.fleet.copies.Modes;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.copies.Pieces;
import ochretiller.fleet.copies.Verdict;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Voter;
import ochretiller.fleet.epochs.Wish;
import ochretiller.fleet.members.Seen;
import ochretiller.fleet.versions.VersionMessage;
import ochretiller.metrics.Metrics;
import ochretiller.net.Schedule;
import ochretiller.store.Store;

/**
 * Carries out what is decided about epochs, claims and copies, on the one thread. Where results are
 * remembered a keeper's entries are in the same store, and each of its words is on disk before it
 * leaves; else they are in memory, and one that was started again counts once the others have told
 * it. What a voter promises is on disk before it is said.
 */
public final class Copies {
    private static final Logger LOG = Logger.getLogger(Copies.class.getName());
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

    private final Schedule schedule;
    private final CopySettings settings;
    private final String name;
    private final Duration longest;
    private final RandomGenerator chance;
    private final BiConsumer<String, Object> send;
    private final Supplier<List<Seen>> view;
    private final Claims claims;
    private final Modes modes;
    private final Wish wish;
    private final Shelf shelf;
    private final Commit commit;

    /** Null where nothing outlives a restart. */
    private final KeeperDisk disk;

    private final KeeperDisk.Found found;
    private final List<Long> starts;
    private final Keeper.Bounds bounds;
    private final VoterFile file;
    private final SmallWrites writer;
    private final Map<String, Outcome> near = Bounded.byUse(NEAR);
    private final Metrics.Counter asked;
    private final Metrics.Counter granted;
    private final Metrics.Counter replayed;
    private final Metrics.Counter throttled;
    private final Metrics.Counter unknown;
    private final Metrics.Counter unkept;
    private final Metrics.Counter still;
    private final Waits waits = new Waits();
    private final Metrics.Counter settledNever;
    private final Metrics.Counter settledEnds;
    private final long start;

    /** Null for a server that is no voter. */
    private Voter voter;

    /** What is on its disk, and what was handed over to be written last. */
    private Voter.Promised durable;

    private Voter.Promised handed;

    /** Null where no versions are brought out. */
    private Versions versions;

    /** Null until an epoch is known. */
    private Keeper keeper;

    /** Null where nothing outlives a restart. */
    private Former former;

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
    Copies(
            Schedule schedule,
            CopySettings settings,
            String name,
            long start,
            Duration longest,
            RandomGenerator chance,
            Metrics metrics,
            BiConsumer<String, Object> send,
            Supplier<List<Seen>> view,
            Store store) {
        this.schedule = schedule;
        this.settings = settings;
        this.name = name;
        this.longest = longest;
        this.start = start;
        this.chance = chance;
        this.send = send;
        this.modes = new Modes(settings.modes(), longest, schedule.now());
        this.view = view;
        this.wish = new Wish(settings.calm(), longest, settings.factor());
        boolean votes = settings.voters().contains(name);
        file = votes ? new VoterFile(settings.voterFile()) : null;
        durable = votes ? file.read() : null;
        voter =
                votes
                        ? new Voter(
                                name,
                                Set.copyOf(settings.voters()),
                                durable,
                                settings.factor(),
                                false,
                                chance.nextLong())
                        : null;
        writer = votes ? new SmallWrites("voter", WRITES) : null;
        bounds =
                new Keeper.Bounds(
                        settings.most(), settings.mostBytes(), settings.catchUp(), longest);
        disk = store == null ? null : new KeeperDisk(store, longest);
        found =
                disk == null
                        ? new KeeperDisk.Found(null, Map.of(), 0, KeeperDisk.Place.NONE)
                        : disk.read(schedule.now());
        shelf = new Shelf(disk, settings.mostBytes() / 2);
        commit = new Commit(chance);
        if (found.disk() != null) {
            keeper = new Keeper(name, found.disk(), null, bounds, 0, schedule.now());
            epochNow = keeper.layout().epoch();
            LOG.info(
                    () ->
                            "fleet: kept "
                                    + keeper.size()
                                    + " tokens of "
                                    + keeper.layout()
                                    + ", "
                                    + keeper.behind()
                                    + " ranges behind; asks the others whether it missed any");
        }
        claims =
                new Claims(
                        name,
                        start,
                        keeper == null ? Layout.none(settings.factor()) : keeper.layout(),
                        chance);
        claims.remember(found.place().heard());
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
    void bring(Versions all) {
        versions = all;
    }

    void start() {
        if (versions != null && epochNow > 0) {
            versions.become(claims.layout());
        }
        if (voter != null && epochNow > 0) {
            voter.received(name, new EpochMessage.Agreed(claims.layout()));
        }
        if (voter != null && !voter.blank()) {
            learn(voter.agreed());
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
        boolean keeps = keeper != null && claims.layout().has(name);
        int behind = !keeps ? 0 : keeper.returning() ? Layout.RANGES : keeper.behind();
        EpochMessage.Standing standing = new EpochMessage.Standing(epochNow, behind);
        if (keeps) {
            settings.voters().forEach(to -> out(to, standing));
        } else {
            out(settings.voters().get(chance.nextInt(settings.voters().size())), standing);
        }
    }

    private void tick(Duration now) {
        keeper.tick(now);
        if (chance.nextInt(COMPARES) == 0) {
            keeper.compare(chance);
        }
        if (now.minus(looked).compareTo(LOOKS) >= 0) {
            looked = now;
            Set<String> live = new HashSet<>();
            for (Seen seen : view.get()) {
                if (seen.member().state().live()) {
                    live.add(seen.member().id().name());
                }
            }
            keeper.there(live);
            conflicts();
            waits.publish();
            figures(now);
        }
        if (disk != null) {
            commit.tick(now).forEach(this::write);
        }
        tell(now);
    }

    private void figures(Duration now) {
        figures =
                new Figures(
                        epochNow,
                        keeper.behind(),
                        keeper.size(),
                        keeper.bytes(),
                        keeper.conflicts(),
                        claims.limit(),
                        keeper.hints(),
                        keeper.oldestGap(now).toNanos() / 1e9,
                        keeper.fetchedBytes(),
                        keeper.sentBytes(),
                        keeper.compares(),
                        keeper.differed(),
                        commit.waiting(),
                        commit.unsaid(),
                        claims.hedged(),
                        claims.saidAgain(),
                        keeper.oldDisks());
    }

    /**
     * Lines on what operators wait for: each state when it begins and ends, and not how it goes on.
     */
    private void tell(Duration now) {
        boolean returning = keeper.returning();
        if (wasReturning && !returning) {
            LOG.info(
                    keeper.oldDisks() > 0
                            ? "fleet: the disk is older than this server's last word: what it kept"
                                    + " is fetched from the others"
                            : "fleet: nobody knows of a later word than the disk has: it counts as"
                                    + " a keeper");
        }
        wasReturning = returning;
        boolean behind = keeper.behind() > 0;
        if (behind && !wasBehind) {
            behindSince = now;
        }
        if (behind != wasBehind) {
            int ranges = keeper.behind();
            long entries = keeper.fetched();
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
        if (commit.sick() != wasSick) {
            LOG.warning(
                    commit.sick()
                            ? "fleet: the disk does not take what this server keeps: it says"
                                    + " nothing as a keeper"
                            : "fleet: the disk takes what this server keeps again");
        }
        wasSick = commit.sick();
    }

    private void conflicts() {
        for (String token : keeper.conflicting()) {
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
        if (voter.blank()) {
            voter.ask();
            return;
        }
        Map<String, Boolean> there = new HashMap<>();
        List<Layout.Server> servers = new ArrayList<>();
        for (Seen seen : view.get()) {
            String other = seen.member().id().name();
            boolean live = seen.member().state().live();
            if (live || !there.containsKey(other)) {
                there.put(other, live); // a start that is gone may have a successor
            }
            if (live) {
                servers.add(new Layout.Server(other, seen.member().zone()));
            }
        }
        // Whom the view has forgotten altogether is as gone as one that it remembers.
        for (Layout.Server each : voter.agreed().servers()) {
            there.putIfAbsent(each.name(), false);
        }
        wish.seen(there, now);
        if (voter.agreed().epoch() > 0) {
            List<Layout.Server> told = new ArrayList<>(servers);
            for (int i = 0; i < TELLS && !told.isEmpty(); i++) {
                Layout.Server each = told.remove(chance.nextInt(told.size()));
                if (!each.name().equals(name)) {
                    out(each.name(), new EpochMessage.Agreed(voter.agreed()));
                }
            }
        }
        if (voter.attempting() && now.minus(attempted).compareTo(ATTEMPT) < 0) {
            return;
        }
        wish.next(voter.agreed(), servers, now)
                .or(
                        () ->
                                versions == null || voter.agreed().epoch() == 0
                                        ? Optional.empty()
                                        : versions.next(voter.agreed()))
                .ifPresent(
                        layout -> {
                            attempted = now;
                            voter.attempt(layout);
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
        if (message instanceof EpochMessage word) {
            if (voter != null) {
                voter.received(from, word);
            }
            if (word instanceof EpochMessage.Standing standing) {
                stands(from, standing);
            }
            if (word instanceof EpochMessage.Agreed agreed && settings.voters().contains(from)) {
                learn(agreed.layout());
            }
            // Guards against voters that have all lost what they promised: what is in force is
            // known to others, too.
            boolean asks =
                    word instanceof EpochMessage.WhatIsOpen
                            || word instanceof EpochMessage.Agreed agreed
                                    && agreed.layout().epoch() < epochNow;
            if (asks && epochNow > 0 && !from.equals(name) && settings.voters().contains(from)) {
                out(from, new EpochMessage.Agreed(claims.layout()));
            }
        } else if (message instanceof VersionMessage word) {
            if (versions != null) {
                versions.received(from, word);
            }
        } else if (message instanceof CopyMessage word) {
            if (word instanceof CopyMessage.Fetch fetch && fetch.layout() != null) {
                learn(fetch.layout());
            }
            if (word instanceof CopyMessage.Claim claim && !from.equals(name)) {
                modes.claimed(operation(claim.body()), claim.leaves(), now);
            }
            if (word instanceof CopyMessage.Want want) {
                wanted(from, want);
            }
            if (word instanceof CopyMessage.Whether whether) {
                formerly(whether);
            }
            if (keeper != null) {
                keeper.received(from, word, now);
            }
            claims.received(from, word, now);
        }
        carryOut();
    }

    private void stands(String from, EpochMessage.Standing standing) {
        wish.told(from, standing);
        boolean missed =
                voter != null && !voter.blank() && standing.epoch() < voter.agreed().epoch();
        if (missed && !from.equals(name)) {
            out(from, new EpochMessage.Agreed(voter.agreed()));
        }
    }

    private void learn(Layout layout) {
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
            keeper = new Keeper(name, null, layout, bounds, first, now);
            found.entries().forEach((token, entry) -> keeper.remember(token, entry));
        } else {
            keeper.become(layout, now);
        }
        claims.become(layout, now);
        if (versions != null) {
            versions.become(claims.layout());
        }
    }

    private void carryOut() {
        if (voter != null) {
            carryOutVoter();
        }
        for (Keeper.Out each : claims.outs()) {
            out(each.to(), each.message());
        }
        if (keeper != null) {
            carryOutKeeper();
        }
    }

    private void carryOutKeeper() {
        Duration now = schedule.now();
        for (Pieces.Whole whole : keeper.wholes()) {
            Duration until = keeper.entry(whole.token()).until();
            shelf.keep(
                    whole.token(),
                    whole.id(),
                    whole.result(),
                    until,
                    now,
                    kept -> {
                        if (closed || !kept) {
                            return;
                        }
                        keeper.shelved(whole);
                        carryOut();
                    });
        }
        List<String> tokens = keeper.changes();
        boolean moved = keeper.moved();
        if (disk == null) {
            for (Keeper.Out each : keeper.outs()) {
                out(each.to(), each.message());
            }
            return;
        }
        // So that a start knows how far it had come when all that it wrote since is past its
        // window.
        if (now.minus(placed).compareTo(PLACES) >= 0 && keeper.number() != placedNumber) {
            moved = true;
        }
        if (moved) {
            placed = now;
            placedNumber = keeper.number();
        }
        List<Keeper.Out> say = new ArrayList<>();
        List<Commit.Write> writes = commit.changed(tokens, moved, keeper.outs(), say);
        writes.forEach(this::write);
        for (Keeper.Out each : say) {
            out(each.to(), each.message());
        }
    }

    private void write(Commit.Write write) {
        KeeperDisk.Place with =
                write.token() != null
                        ? KeeperDisk.Place.NONE
                        : new KeeperDisk.Place(claims.heard(), starts);
        disk.write(
                write,
                keeper,
                with,
                schedule.now(),
                durable -> {
                    if (closed) {
                        return;
                    }
                    for (Keeper.Out each : commit.acked(write, durable, schedule.now())) {
                        out(each.to(), each.message());
                    }
                });
    }

    /** What former processes have left is told by this. */
    public void remembers(Former told) {
        former = told;
    }

    /**
     * Does a claim of a former process run? Its mark was on this disk before it was begun, so a
     * disk that is whole and as new as this server's last word tells. One that lacks anything
     * proves nothing.
     */
    private void formerly(CopyMessage.Whether whether) {
        ClaimId id = whether.id();
        boolean mine =
                id.server().equals(name)
                        && id.start() != start
                        && found.place().starts().contains(id.start());
        boolean proves =
                former != null
                        && found.disk() != null
                        && keeper != null
                        && !keeper.returning()
                        && keeper.oldDisks() == 0;
        if (!mine || !proves || !KeeperDisk.fits(whether.token())) {
            return;
        }
        former.ask(
                whether.token(),
                known -> {
                    if (closed) {
                        return;
                    }
                    Duration now = schedule.now();
                    if (known.kind() == Former.Kind.NEVER) {
                        settledNever.add();
                        claims.neverRan(whether.token(), id, now.plus(longest), now);
                    } else if (known.kind() == Former.Kind.ENDED) {
                        settledEnds.add();
                        Outcome outcome = outcome(known.body(), known.result());
                        claims.formerEnded(
                                whether.token(),
                                id,
                                outcome,
                                outcome.big() ? text(known.result()) : null,
                                known.windowEnds(),
                                now);
                    }
                    carryOut();
                });
    }

    private static String text(byte[] result) {
        return new String(result, StandardCharsets.ISO_8859_1);
    }

    /**
     * Of a result that is longer than is kept only its end is told: its repeats elsewhere are
     * errored, and never run.
     */
    private static Outcome outcome(String body, byte[] result) {
        if (result == null || result.length > Outcome.LONGEST) {
            return new Outcome(false, body, "");
        }
        return result.length > Outcome.INLINE
                ? Outcome.apart(body, text(result))
                : new Outcome(true, body, text(result));
    }

    /** A piece of a long result is asked for: of a run of this server's, or of what it keeps. */
    private void wanted(String from, CopyMessage.Want want) {
        String own = claims.result(want.id());
        if (own != null) {
            piece(from, want, own);
        } else {
            shelf.result(want.token(), want.id(), result -> piece(from, want, result));
        }
    }

    private void piece(String to, CopyMessage.Want want, String result) {
        if (closed || result == null) {
            return;
        }
        CopyMessage.Piece piece = Pieces.cut(want, result);
        if (piece != null) {
            out(to, piece);
        }
    }

    /** What a voter says leaves once what it has promised is on disk. */
    private void carryOutVoter() {
        if (!voter.blank() && voter.agreed().epoch() > epochNow) {
            learn(voter.agreed());
        }
        List<Voter.Out> outs = voter.outs();
        Voter.Promised promised = voter.promised();
        if (voter.blank() || promised.equals(durable)) {
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

    private void say(Voter.Out each) {
        if (closed) {
            return;
        }
        if (each.to().isPresent()) {
            out(each.to().get(), each.message());
            return;
        }
        Set<String> told = new LinkedHashSet<>(settings.voters());
        if (each.message() instanceof EpochMessage.WhatIsOpen) {
            for (Seen seen : view.get()) {
                if (seen.member().state().live()) {
                    told.add(seen.member().id().name());
                }
            }
        }
        if (each.message() instanceof EpochMessage.Agreed agreed) {
            agreed.layout().servers().forEach(one -> told.add(one.name()));
        }
        told.remove(name);
        told.forEach(to -> out(to, each.message()));
    }

    /** What the operators' commands are told. */
    CopiesTold told() {
        return new CopiesTold(new Inside());
    }

    /**
     * All ranges that this server keeps are compared with all others that keep them, in their turn.
     */
    String repair() {
        int compares = keeper == null ? 0 : keeper.compareAll();
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

        Layout layout() {
            return claims.layout();
        }

        Keeper keeper() {
            return keeper;
        }

        int underWay() {
            return claims.underWay();
        }

        double limit() {
            return claims.limit();
        }

        int wordsWaiting() {
            return commit.waiting();
        }

        String disk() {
            return disk == null ? "none" : commit.sick() ? "sick" : "well";
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
            String token, String body, Duration due, Duration windowEnds, Consumer<Verdict> then) {
        Duration began = schedule.now();
        Modes.Before before = modes.before(operation(body), began);
        if (before == Modes.Before.NOTHING) {
            then.accept(new Verdict(Verdict.What.RUN, null, null));
            return;
        }
        asked.add();
        if (before == Modes.Before.CLAIM_STILL) {
            still.add();
        }
        if (!KeeperDisk.fits(token)) {
            throttled.add();
            then.accept(new Verdict(Verdict.What.THROTTLED, null, null));
            return;
        }
        Outcome known = near.get(token);
        if (known != null
                && known.succeeded()
                && known.body().equals(body)
                && !known.result().isEmpty()) {
            replayed.add();
            then.accept(new Verdict(Verdict.What.REPLAY, null, known));
            return;
        }
        claims.claim(
                token,
                body,
                before == Modes.Before.CLAIM_STILL,
                due,
                windowEnds,
                began,
                verdict -> told(token, began, windowEnds, verdict, then));
        carryOut();
    }

    private void told(
            String token,
            Duration began,
            Duration windowEnds,
            Verdict verdict,
            Consumer<Verdict> then) {
        switch (verdict.what()) {
            case RUN -> {
                granted.add();
                waits.add(schedule.now().minus(began));
            }
            case REPLAY -> {
                replayed.add();
                // Guards against a memory full of long results: those are fetched again.
                if (verdict.outcome().big()) {
                    break;
                }
                near.put(token, verdict.outcome());
                // It may be known again by one window more than it should: a repeat behind its
                // window is its caller's fault.
                schedule.after(
                        windowEnds.minus(schedule.now()).isNegative()
                                ? Duration.ZERO
                                : windowEnds.minus(schedule.now()),
                        () -> near.remove(token));
            }
            case THROTTLED -> throttled.add();
            case UNKNOWN -> unknown.add();
            default -> {}
        }
        then.accept(verdict);
    }

    /** A claimed run has never begun: its token is free again. */
    public void neverRan(ClaimId claim, Duration windowEnds) {
        claims.neverRan(claim, windowEnds, schedule.now());
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
        Outcome outcome = outcome(body, result);
        claims.ended(
                claim,
                outcome,
                outcome.big() ? text(result) : null,
                due,
                windowEnds,
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
