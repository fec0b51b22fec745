package ochretiller.fleet.peers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.Claims;
import ochretiller.fleet.copies.CopyMessage;
import ochretiller.fleet.copies.Keeper;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.copies.Verdict;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Voter;
import ochretiller.fleet.epochs.Wish;
import ochretiller.fleet.members.Seen;
import ochretiller.metrics.Metrics;
import ochretiller.net.Schedule;

/**
 * Carries out what is decided about epochs, claims and copies, on the one thread. Entries are kept in memory: a keeper that was
 * started again has lost them, and counts again once the others have told it. What a voter promises is on disk before it is said.
 */
public final class Copies {
    private static final Logger LOG = Logger.getLogger(Copies.class.getName());
    private static final Duration TICK = Duration.ofMillis(20);
    /** Voters tell all others what is in force, and ask and attempt, at spans moved by chance. */
    private static final Duration SPEAK = Duration.ofMillis(500);
    /** An attempt that is not agreed on by then is made again. */
    private static final Duration ATTEMPT = Duration.ofSeconds(1);
    /** One of so many ticks compares a range with another keeper. */
    private static final int COMPARES = 25;
    /** Results that were asked for here lately, and are answered from here. */
    private static final int NEAR = 1_000;
    /** Longest result that goes with a datagram; of a longer one only its end is kept, and repeats elsewhere are errored. */
    private static final int LONGEST_RESULT = 4_096;
    private static final int WRITES = 64;

    private final Schedule schedule;
    private final CopySettings settings;
    private final String name;
    private final Layout.Server server;
    private final Duration longest;
    private final RandomGenerator chance;
    private final BiConsumer<String, Object> send;
    private final Supplier<List<Seen>> view;
    private final Claims claims;
    private final Wish wish;
    private final VoterFile file;
    private final ExecutorService writer;
    private final Map<String, Outcome> near = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Outcome> eldest) {
            return size() > NEAR;
        }
    };
    private final Metrics.Counter asked;
    private final Metrics.Counter granted;
    private final Metrics.Counter replayed;
    private final Metrics.Counter throttled;
    private final Metrics.Counter unknown;
    private final Metrics.Counter unkept;
    /** Null for a server that is no voter. */
    private Voter voter;
    /** What is on its disk, and what was handed over to be written last. */
    private Voter.Promised durable;
    private Voter.Promised handed;
    /** Null until an epoch is known. */
    private Keeper keeper;
    private Duration attempted = Duration.ZERO.minusSeconds(60);
    private Duration spoken = Duration.ZERO;
    private boolean silent;
    private boolean closed;
    private volatile long epochNow;
    private volatile int behindNow;
    private volatile int sizeNow;
    private volatile long conflictsNow;
    private volatile double limitNow;

    /**
     * @param longest the longest window of a token
     * @param send    sends to a server by its name
     */
    Copies(Schedule schedule, CopySettings settings, String name, String zone, long start, Duration longest, RandomGenerator chance, Metrics metrics,
           BiConsumer<String, Object> send, Supplier<List<Seen>> view) {
        this.schedule = schedule;
        this.settings = settings;
        this.name = name;
        this.server = new Layout.Server(name, zone);
        this.longest = longest;
        this.chance = chance;
        this.send = send;
        this.view = view;
        this.wish = new Wish(settings.calm(), settings.factor());
        boolean votes = settings.voters().contains(name);
        file = votes ? new VoterFile(settings.voterFile()) : null;
        durable = votes ? file.read() : null;
        voter = votes ? new Voter(name, Set.copyOf(settings.voters()), durable, settings.factor(), false, chance.nextLong()) : null;
        writer = votes ? new ThreadPoolExecutor(0, 1, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(WRITES), work -> {
            Thread thread = new Thread(work, "voter");
            thread.setDaemon(true);
            return thread;
        }) : null;
        claims = new Claims(name, start, Layout.none(settings.factor()), chance);
        asked = metrics.counter("fleet_claims_total", "Tokened invocations whose claim was asked for");
        granted = metrics.counter("fleet_claims_granted_total", "Claims that a majority of keepers granted");
        replayed = metrics.counter("fleet_claims_replayed_total", "Repeats that were answered with a result from the fleet");
        throttled = metrics.counter("fleet_claims_throttled_total", "Claims without a majority, which were not run");
        unknown = metrics.counter("fleet_claims_unknown_total", "Repeats of what another has claimed and nobody knows the end of");
        unkept = metrics.counter("fleet_ends_unkept_total", "Ends that no majority had kept when their answer was due");
        metrics.gauge("fleet_epoch", "The epoch in force, as this server knows it", () -> epochNow);
        metrics.gauge("fleet_ranges_behind", "Ranges that this server keeps and does not have whole", () -> behindNow);
        metrics.gauge("fleet_entries", "Tokens that this server keeps for the fleet", () -> sizeNow);
        metrics.gauge("fleet_claim_limit", "Claims that may be under way", () -> limitNow);
        metrics.counted("fleet_conflicts_total", "Tokens with two ends, which must not be", () -> conflictsNow);
    }

    void start() {
        if (voter != null && !voter.blank()) learn(voter.agreed());
        tick();
    }

    /** Another bears this server's name: nothing that it says may count. */
    void silence() {
        silent = true;
    }

    void close() {
        closed = true;
        if (writer != null) writer.shutdown();
    }

    private void tick() {
        if (closed) return;
        Duration now = schedule.now();
        claims.tick(now);
        if (keeper != null) {
            keeper.tick(now);
            if (chance.nextInt(COMPARES) == 0) keeper.compare(chance);
            behindNow = keeper.behind();
            sizeNow = keeper.size();
            conflictsNow = keeper.conflicts();
        }
        limitNow = claims.limit();
        if (voter != null && now.minus(spoken).compareTo(SPEAK) >= 0) {
            spoken = now.minus(Duration.ofNanos((long) (SPEAK.toNanos() / 2 * chance.nextDouble())));
            vote(now);
        }
        carryOut();
        schedule.after(TICK, this::tick);
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
            if (live || !there.containsKey(other)) there.put(other, live); // a start that is gone may have a successor
            if (live) servers.add(new Layout.Server(other, seen.member().zone()));
        }
        // Whom the view has forgotten altogether is as gone as one that it remembers.
        for (Layout.Server each : voter.agreed().servers()) there.putIfAbsent(each.name(), false);
        wish.seen(there, now);
        if (voter.agreed().epoch() > 0) for (Layout.Server each : servers) if (!each.name().equals(name)) out(each.name(), new EpochMessage.Agreed(voter.agreed()));
        if (voter.attempting() && now.minus(attempted).compareTo(ATTEMPT) < 0) return;
        wish.next(voter.agreed(), servers, now).ifPresent(layout -> {
            attempted = now;
            voter.attempt(layout);
        });
    }

    private void out(String to, Object message) {
        if (silent) return;
        if (to.equals(name)) schedule.post(() -> received(name, message));
        else send.accept(to, message);
    }

    /** Another server's word, under the name that it bears in the view. */
    void received(String from, Object message) {
        if (closed || silent) return;
        Duration now = schedule.now();
        if (message instanceof EpochMessage word) {
            if (voter != null) voter.received(from, word);
            if (word instanceof EpochMessage.Agreed agreed && settings.voters().contains(from)) learn(agreed.layout());
        } else if (message instanceof CopyMessage word) {
            if (word instanceof CopyMessage.Fetch fetch) learn(fetch.layout());
            if (keeper != null) keeper.received(from, word, now);
            claims.received(from, word, now);
        }
        carryOut();
    }

    private void learn(Layout layout) {
        if (layout.epoch() == 0) return;
        Duration now = schedule.now();
        if (layout.epoch() > epochNow) LOG.info(() -> "fleet: " + layout + " is in force");
        epochNow = Math.max(epochNow, layout.epoch());
        if (keeper == null) keeper = new Keeper(name, null, layout, settings.most(), longest, now);
        else keeper.become(layout, now);
        claims.become(layout, now);
    }

    private void carryOut() {
        if (voter != null) carryOutVoter();
        for (Keeper.Out each : claims.outs()) out(each.to(), each.message());
        if (keeper != null) for (Keeper.Out each : keeper.outs()) out(each.to(), each.message());
    }

    /** What a voter says leaves once what it has promised is on disk. */
    private void carryOutVoter() {
        if (!voter.blank() && voter.agreed().epoch() > epochNow) learn(voter.agreed());
        List<Voter.Out> outs = voter.outs();
        Voter.Promised promised = voter.promised();
        if (voter.blank() || promised.equals(durable)) {
            outs.forEach(this::say);
            return;
        }
        if (outs.isEmpty() && promised.equals(handed)) return;
        handed = promised;
        try {
            writer.execute(() -> {
                try {
                    file.write(promised);
                    schedule.post(() -> {
                        durable = promised;
                        outs.forEach(this::say);
                    });
                } catch (IOException e) {
                    // What is not on disk is not said: to the others it was lost on the way.
                    LOG.warning("the voter's file cannot be written: " + e.getMessage());
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.fine("the voter's disk is far behind"); // what is not on disk is not said, as above
        }
    }

    private void say(Voter.Out each) {
        if (closed) return;
        if (each.to().isPresent()) {
            out(each.to().get(), each.message());
            return;
        }
        Set<String> told = new LinkedHashSet<>(settings.voters());
        if (each.message() instanceof EpochMessage.Agreed agreed) agreed.layout().servers().forEach(one -> told.add(one.name()));
        told.remove(name);
        told.forEach(to -> out(to, each.message()));
    }

    /**
     * Asks the fleet whether a tokened invocation may run here; {@code then} is handed the one verdict.
     *
     * @param body       hash of what it asks for, its operation among it
     * @param due        when its run has to begin at the latest
     * @param windowEnds end of its window
     */
    public void claim(String token, String body, Duration due, Duration windowEnds, Consumer<Verdict> then) {
        asked.add();
        Outcome known = near.get(token);
        if (known != null && known.succeeded() && known.body().equals(body) && !known.result().isEmpty()) {
            replayed.add();
            then.accept(new Verdict(Verdict.What.REPLAY, null, known));
            return;
        }
        claims.claim(token, body, due, windowEnds, schedule.now(), verdict -> {
            switch (verdict.what()) {
                case RUN -> granted.add();
                case REPLAY -> {
                    replayed.add();
                    near.put(token, verdict.outcome());
                    // It may be known again by one window more than it should: a repeat behind its window is its caller's fault.
                    schedule.after(windowEnds.minus(schedule.now()).isNegative() ? Duration.ZERO : windowEnds.minus(schedule.now()), () -> near.remove(token));
                }
                case THROTTLED -> throttled.add();
                case UNKNOWN -> unknown.add();
                default -> { }
            }
            then.accept(verdict);
        });
        carryOut();
    }

    /** A claimed run has never begun: its token is free again. */
    public void neverRan(ClaimId claim, Duration windowEnds) {
        claims.neverRan(claim, windowEnds, schedule.now());
        carryOut();
    }

    /**
     * A claimed run has ended; {@code then} is handed, once, whether a majority keeps its end by its due time.
     *
     * @param result null where it did not succeed
     */
    public void ended(ClaimId claim, String body, byte[] result, Duration due, Duration windowEnds, Consumer<Boolean> then) {
        String kept = result == null || result.length > LONGEST_RESULT ? "" : new String(result, StandardCharsets.ISO_8859_1);
        Outcome outcome = new Outcome(result != null && result.length <= LONGEST_RESULT, body, kept);
        claims.ended(claim, outcome, due, windowEnds, schedule.now(), good -> {
            if (!good) unkept.add();
            then.accept(good);
        });
        carryOut();
    }
}
