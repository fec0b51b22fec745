package ochretiller.policy;

import static ochretiller.spans.Spans.*;

import java.time.Duration;
import java.util.*;
import ochretiller.model.*;
import ochretiller.server.*;
import ochretiller.spans.Ring;

/**
 * All decisions of one server: what it runs, holds, replays, turns away, and what it tells its
 * callers.
 *
 * <p>How it is called: its owner builds the parts, each with its own few settings, and tells what
 * happens by {@link #started}, {@link #arrived}, {@link #blocked}, {@link #gone} and {@link
 * #leave}. Each returns a {@link Step} to be acted out on the interface, {@link Server} in {@code
 * ochretiller.server}, where it leaves continuations for what comes of runs, calls and timers.
 * docs/design.md tells why.
 */
public final class Choice {
    /** Beat of what changes slowly; due times and objectives have timers of their own. */
    private static final Duration BEAT = Duration.ofMillis(100);

    /** Lead of a last answer on its due time: some beats, and batches that come late. */
    private static final Duration LEAD = Duration.ofMillis(80);

    /** The way back to the client; an answer is aimed to leave so long before the objective. */
    private static final Duration WAY_BACK = Duration.ofMillis(30);

    /** Share of the objective that a marked further try is taken to have spent elsewhere. */
    private static final double SPENT = 0.5;

    /**
     * Bucket of the rings, as long as the gauges look back; ten seconds of them hold enough ends.
     */
    private static final Duration BUCKET = Duration.ofMillis(500);

    private static final int BUCKETS = 20;

    /** Buckets of what was read and throttled: three seconds see a storm come and hold a dozen. */
    private static final int RECENT = 6;

    /** Ends that tell a fall of completions from chance, and how far they must fall; a share. */
    private static final int ENOUGH = 16;

    private static final double FELL = 0.15;

    /**
     * Core use under which there is room for one more run, and over which the cores are busy;
     * share.
     */
    private static final double ROOM = 0.85;

    /**
     * Share of the crowd that a server survives which the run limit may reach: resumed calls come
     * on top.
     */
    private static final double CROWD = 0.6;

    /**
     * Share of the memory that is used, since more may be read at any time, and that tokens may
     * take.
     */
    private static final double MEMORY = 0.9;

    private static final double TOKENS = 0.4;

    /**
     * Share of its slice that calls may be in hand, and least patience in mean times where several
     * are.
     */
    private static final double SLICE = 0.45;

    private static final double PATIENT = 4;

    /** Started invocations waiting for a place at a call, by core: more only fill memory. */
    private static final int PARKED = 2;

    /** Expected work before any was measured, as a share of the latency objective. */
    private static final double UNKNOWN_WORK = 0.2;

    /**
     * Room that one who waits needs before its goal: the expected run and so many of its spreads.
     */
    private static final double SPREADS = 0.5;

    /**
     * Factors on the openness told to callers, up and down each beat, and its least; it halves in
     * 0.7 s.
     */
    private static final double OPEN = 1.04;

    private static final double CLOSE = 0.9;
    private static final double SHUT = 0.02;

    /** Window, by core, that all callers together get at full openness. */
    private static final double WINDOW = 6;

    /**
     * Wait in the hold or at calls, as a share of the objective, at which openness falls and less
     * fits.
     */
    private static final double LONG_WAIT = 0.4;

    /** Time unread over which reading is jammed, as a share of the shortest objective. */
    private static final double JAM = 0.2;

    /**
     * The like over which health goes bad: rare, since what one server is spared the others get.
     */
    private static final double DEEP_JAM = 3;

    /**
     * No run has ended for so many times the longest that is expected of those that run: a stall.
     */
    private static final double STALL = 3;

    /** Open connections by core over which silent ones are closed sooner. */
    private static final double LINKS = 8;

    /**
     * What a tenant may send beyond its even part of its quota, in deviations that chance alone
     * makes.
     */
    private static final double CHANCE = 1;

    private final TokenTable tokens;
    private final RunLimit limit;
    private final Hold hold;
    private final Calls calls;
    private final Memory memory;
    private final Drain drain;
    private final Signals signals;
    private final Map<InvId, Work> works = new LinkedHashMap<>();

    /** Pools that work was read for; all else runs on the cores, which null stands for. */
    private final Set<String> pools = new LinkedHashSet<>();

    private Duration movedAt = Duration.ZERO;

    public Choice(
            TokenTable tokens,
            RunLimit limit,
            Hold hold,
            Calls calls,
            Memory memory,
            Drain drain,
            Signals signals) {
        this.tokens = tokens;
        this.limit = limit;
        this.hold = hold;
        this.calls = calls;
        this.memory = memory;
        this.drain = drain;
        this.signals = signals;
    }

    /** The server has started. */
    public Step started() {
        return server -> {
            server.health(true, true);
            server.after(BEAT, this::beat);
        };
    }

    /** An invocation has been read and lies in the hold. */
    public Step arrived(Invocation inv) {
        return server -> {
            Work work = new Work(inv);
            works.put(inv.id(), work);
            work.pool = server.pool(inv.operation());
            if (work.pool != null) {
                pools.add(work.pool);
            }
            memory.usedKb += inv.kb();
            signals.read(server.now(), server.now().minus(inv.arrived()), inv.resent());
            work.worth = hold.worth(inv, server.now());
            Token token = inv.forerunner() == null ? null : tokens.entries.get(inv.forerunner());
            boolean repeats = inv.operation().tokened() && inv.forerunner() != null;
            if (repeats && (token == null || token.state != Token.State.DROPPED)) {
                repeat(server, work, token);
            } else {
                admit(server, work);
            }
            squeeze(server);
            fill(server);
            for (Duration at : List.of(goal(work), inv.due().minus(LEAD))) {
                server.after(until(at, server.now()), gauges -> then -> overdue(then, work));
            }
        };
    }

    /**
     * A repeat of a kept try: it replays the answer, or waits for the mark to clear, and never
     * runs.
     */
    private void repeat(Server server, Work work, Token token) {
        if (token == null || token.state == Token.State.SUCCEEDED) {
            work.state =
                    Work.State.REPLAYING; // an unknown forerunner may have run: its answer, or an
            // error
            server.replay(work.inv.id(), end -> then -> forget(work));
        } else if (token.state == Token.State.LOST) {
            fail(
                    server,
                    work); // guards against a second effect: what failed may have done its work
        } else {
            work.state = Work.State.WAITING;
            token.waiting.add(work);
        }
    }

    private void admit(Server server, Work work) {
        Duration now = server.now();
        // What was read too late to earn anything takes no entry, and may be older than its own
        // window.
        boolean late = now.compareTo(goal(work)) > 0;
        boolean full =
                work.operation().tokened()
                        && !(tokens.room(now)
                                && memory.room(tokens.entryKb, tokens.kb(now))
                                && server.keeps());
        boolean jammed =
                work.operation().idempotent()
                        && signals.jammed(hold.shortest(), work.inv.resent() ? JAM * SPENT : JAM);
        if (late || full || jammed || drain.forbids(work.inv, now)) {
            throttle(server, work, late);
            return;
        }
        if (work.operation().tokened()) {
            // Guards against running twice: the repeat of one that is not kept bears no mark.
            tokens.open(work.inv, now);
            server.keep(
                    work.inv.id(), work.inv.arrived().plus(work.operation().window()).minus(now));
        }
        work.state = Work.State.HELD;
        hold.held.add(work);
    }

    /** Gives up what cannot end in time any more, or has no room. */
    private void squeeze(Server server) {
        while (hold.held.size() > 0) {
            Duration now = server.now();
            Work loser = hold.misfit(now, limit.now(now), running(null), null);
            for (String pool : pools) {
                if (loser == null) {
                    loser = hold.misfit(now, server.places(pool), running(pool), pool);
                }
            }
            if (loser == null && memory.room(0, tokens.kb(now))) {
                return;
            }
            if (loser == null) {
                loser = hold.loser(hold.ordered(now)); // guards against the death by memory
            }
            hold.held.remove(loser);
            throttle(server, loser, now.compareTo(goal(loser)) > 0);
        }
    }

    /** Starts held invocations while the run limit, memory and the places at calls allow it. */
    private void fill(Server server) {
        Duration now = server.now();
        int room = limit.now(now) - running(null).size();
        if (room <= 0 && pools.isEmpty() || hold.held.size() == 0) {
            return;
        }
        for (Work work : hold.ordered(now)) {
            boolean here = work.pool == null;
            if (here && room <= 0 || !here && server.free(work.pool) <= 0) {
                continue;
            }
            if (!memory.room(work.inv.kb() * (memory.runFactor - 1), tokens.kb(now))) {
                return;
            }
            if (!here || !work.operation().calls() || calls.room(now)) {
                if (!hold.held.remove(work)) {
                    continue; // a run that ended at once has filled up already
                }
                run(server, work);
                if (here) {
                    room--;
                }
            }
        }
    }

    private void run(Server server, Work work) {
        if (work.pool == null && running(null).isEmpty()) {
            movedAt = server.now();
        }
        work.state = Work.State.RUNNING;
        work.ran = true;
        work.startedAt = server.now();
        memory.usedKb += work.inv.kb() * (memory.runFactor - 1);
        tokens.mark(work.inv.id(), Token.State.RUNNING);
        server.run(work.inv.id(), end -> ended(work, end));
    }

    /**
     * A run is over: its mark is cleared, repeats that waited get the answer, and its place is
     * free.
     */
    private Step ended(Work work, RunEnd end) {
        return server -> {
            Duration now = server.now();
            if (work.pool == null) {
                movedAt = now; // what ends elsewhere does not show that the cores move
            }
            if (work.state == Work.State.CALLING) {
                calls.ended(work, now, true);
            }
            calls.parked.remove(work);
            forget(work);
            boolean succeeded = end.result() == RunEnd.Result.SUCCEEDED;
            if (succeeded) {
                if (work.pool == null) {
                    limit.ended();
                }
                hold.measured(work, end.took().minus(work.offCores), now);
            }
            boolean never =
                    Set.of(RunEnd.Result.NOTHING, RunEnd.Result.NOT_BEGUN).contains(end.result());
            Token token =
                    tokens.mark(
                            work.inv.id(),
                            succeeded
                                    ? Token.State.SUCCEEDED
                                    : never ? Token.State.UNRUN : Token.State.LOST);
            if (end.result() == RunEnd.Result.NOT_BEGUN && !work.answered) {
                throttle(server, work, false);
            } else if (never) {
                dropped(server, work); // guards against a stranger who took its token
            }
            if (token != null) {
                token.release().forEach(waiting -> repeat(server, waiting, token));
            }
            pump(server);
            fill(server);
        };
    }

    /**
     * A tokened try of a former process and its end, null while that is unknown; told again once it
     * is.
     */
    public Step restored(InvId id, Duration expires, RunEnd.Result end) {
        return server -> {
            if (!tokens.entries.containsKey(id)) {
                tokens.add(new Token(id, expires));
            }
            Token token =
                    tokens.mark(
                            id,
                            end == null
                                    ? Token.State.RUNNING
                                    : end == RunEnd.Result.SUCCEEDED
                                            ? Token.State.SUCCEEDED
                                            : Token.State.LOST);
            if (end != null) {
                token.release().forEach(waiting -> repeat(server, waiting, token));
            }
        };
    }

    /** A running invocation waits for a call below. */
    public Step blocked(InvId id) {
        return server -> {
            Work work = works.get(id);
            if (work == null || work.answered) {
                return;
            }
            movedAt = server.now();
            if (work.state == Work.State.RUNNING) {
                work.parkedAt = movedAt;
            }
            work.state = Work.State.PARKED;
            calls.parked.add(work);
            pump(server);
            fill(server);
        };
    }

    private void pump(Server server) {
        Duration now = server.now();
        for (Work work = calls.next(now); work != null; work = calls.next(now)) {
            Work caller = work;
            caller.state = Work.State.CALLING;
            server.call(caller.inv.id(), caller.patience, end -> called(caller, end));
        }
    }

    private Step called(Work work, CallEnd end) {
        return server -> {
            Duration now = server.now();
            calls.ended(work, now, end.result() == CallEnd.Result.TIMED_OUT);
            boolean succeeded = end.result() == CallEnd.Result.SUCCEEDED;
            boolean again = end.result().neverRan(); // a call that may have run is never made again
            boolean skips =
                    !succeeded && !again && !work.answered && work.operation().degradedShare() > 0;
            work.state = succeeded || skips ? Work.State.RUNNING : Work.State.PARKED;
            if (succeeded) {
                work.offCores = work.offCores.plus(now.minus(work.parkedAt));
            } else if (skips) {
                server.skipCall(work.inv.id());
            } else if (again) {
                server.after(BEAT, gauges -> blocked(work.inv.id()));
            } else if (!work.answered) {
                fail(server, work);
            }
            pump(server);
        };
    }

    /** The caller of an invocation is gone; no answer is owed. */
    public Step gone(InvId id) {
        return server -> {
            Work work = works.get(id);
            if (work == null) {
                return;
            }
            work.answered = true;
            switch (work.state) {
                case RUNNING -> stopUnwanted(server, work);
                case PARKED, CALLING -> calls.parked.remove(work); // the end of its run follows
                default -> {
                    hold.held.remove(work);
                    tokens.leave(work);
                    dropped(server, work);
                    forget(work);
                }
            }
            fill(server);
        };
    }

    /**
     * A tokened run goes on though nobody waits for it, since its repeat can be answered from it.
     */
    private void stopUnwanted(Server server, Work work) {
        if (limit.canStop && work.operation().idempotent()) {
            server.stop(work.inv.id());
        }
    }

    /** Notice to leave: the process is killed at {@code kill}. */
    public Step leave(Duration kill) {
        return server -> {
            drain.notice(server.now(), kill);
            server.after(until(kill.minus(LEAD), server.now()), gauges -> this::answerDue);
            server.health(false, true);
            // Until the grace is over it is of use, and its successor may not be known yet.
            server.after(
                    until(drain.lastRun, server.now()), gauges -> then -> signals.say(then, 0));
        };
    }

    private Step beat(Gauges gauges) {
        return server -> {
            Duration now = server.now();
            limit.observe(now, gauges, hold.holds(null) && running(null).size() >= limit.now(now));
            double most =
                    running(null).stream()
                            .mapToDouble(w -> hold.expected(w.inv, now))
                            .max()
                            .orElse(1e9);
            signals.stalled = seconds(now.minus(movedAt)) > STALL * most;
            if (signals.stalled) {
                signals.delay = max(signals.delay, now.minus(movedAt));
            }
            answerDue(server);
            squeeze(server);
            pump(server);
            fill(server);
            if (!drain.noticed()) {
                signals.tell(server, wait(server, null), hold.shortest());
            }
            signals.links(server, gauges.connections());
            server.after(BEAT, this::beat);
        };
    }

    private void answerDue(Server server) {
        List.copyOf(works.values()).forEach(w -> overdue(server, w));
    }

    /**
     * Answers in time, whatever still runs: the due time, and the kill of a process that leaves.
     */
    private void overdue(Server server, Work work) {
        Duration now = server.now();
        if (work.answered || !works.containsKey(work.inv.id())) {
            return;
        }
        boolean due = now.compareTo(min(work.inv.due(), drain.kill).minus(LEAD)) >= 0;
        Duration end =
                work.state == Work.State.PARKED ? now.plus(span(calls.took.mean(now, 0))) : now;
        boolean lost =
                work.ran
                        && work.operation().idempotent()
                        && work.operation().lateShare() == 0
                        && limit.canStop
                        && hold.holds(work.pool)
                        && end.compareTo(goal(work)) > 0;
        Token mark = tokens.entries.get(work.inv.forerunner());
        boolean held =
                work.state == Work.State.HELD
                        || work.state == Work.State.WAITING
                                && mark != null
                                && mark.state == Token.State.UNRUN;
        // Guards against a server that stands still: what is held may still be in time elsewhere.
        boolean moot = signals.stalled && work.pool == null && work.operation().idempotent();
        if (held && (due || moot || drain.forbids(work.inv, now))) {
            hold.held.remove(work);
            tokens.leave(work);
            throttle(server, work, false);
        } else if (due) {
            // A repeat whose forerunner has started ends here too: to turn it away would be untrue.
            tokens.leave(work);
            fail(server, work);
            if (work.state == Work.State.RUNNING) {
                stopUnwanted(server, work);
            }
        } else if (lost && (work.state == Work.State.RUNNING || calls.parked.remove(work))) {
            // Past its objective it earns nothing any more, and others wait for its core or its
            // call.
            work.answered = true;
            server.throttle(work.inv.id(), signals.advice(wait(server, work.pool)), true);
            stopUnwanted(server, work);
        }
    }

    /** Turns away what never ran; {@code last} where no other server could be in time. */
    private void throttle(Server server, Work work, boolean last) {
        Duration now = server.now();
        dropped(server, work);
        Duration back =
                after(now, drain.lastRun)
                        ? signals.longest
                        : signals.advice(wait(server, work.pool));
        server.throttle(
                work.inv.id(),
                back,
                !drain.noticed() && (last || signals.crowded(now, work.inv.resent())));
        signals.throttles.add(now, 1, 1);
        work.answered = true;
        forget(work);
    }

    private void fail(Server server, Work work) {
        server.fail(work.inv.id());
        work.answered = true;
        if (work.state == Work.State.PARKED) {
            calls.parked.remove(work);
        }
        if (!work.ran) {
            forget(work);
        }
    }

    /** What never ran leaves no mark; a repeat that waited for it takes its place. */
    private void dropped(Server server, Work work) {
        Token token = tokens.entries.get(work.inv.id());
        if (token == null || token.state != Token.State.UNRUN) {
            return;
        }
        List<Work> waiting = token.release();
        token.state = Token.State.DROPPED;
        tokens.live.remove(token);
        server.erase(work.inv.id());
        for (Work next : waiting) {
            Token first = tokens.entries.get(waiting.get(0).inv.id());
            if (first == null || first.state == Token.State.DROPPED) {
                admit(server, next);
            } else {
                repeat(server, next, first);
            }
        }
    }

    private void forget(Work work) {
        if (works.remove(work.inv.id()) != null) {
            memory.release(work.inv.kb(), work.ran);
        }
    }

    private Duration wait(Server server, String pool) {
        return hold.wait(
                server.now(),
                pool == null ? limit.now(server.now()) : Math.max(1, server.places(pool)),
                running(pool),
                pool);
    }

    /** What runs on the cores, or in a pool: each has places of its own. */
    private List<Work> running(String pool) {
        return works.values().stream()
                .filter(w -> w.state == Work.State.RUNNING && Objects.equals(w.pool, pool))
                .toList();
    }

    /** When a run must have ended to earn the whole billed value. */
    private static Duration goal(Work work) {
        Duration spent =
                work.inv.resent() ? span(seconds(work.operation().objective()) * SPENT) : WAY_BACK;
        return min(work.inv.arrived().plus(work.operation().objective()), work.inv.due())
                .minus(spent);
    }

    /** The table of tokened tries: a repeat is known by its tie to a kept one. */
    public static final class TokenTable {
        private final double entryKb;
        private final double shareKb;
        private final Map<InvId, Token> entries = new HashMap<>();
        private final PriorityQueue<Token> live =
                new PriorityQueue<>(Comparator.comparing(t -> t.expires));
        private final ArrayDeque<Token> order = new ArrayDeque<>();

        public TokenTable(double entryKb, double memoryKb) {
            this.entryKb = entryKb;
            this.shareKb = memoryKb * TOKENS;
        }

        double kb(Duration now) {
            while (!live.isEmpty() && live.peek().expires.compareTo(now) <= 0) {
                live.poll();
            }
            return live.size() * entryKb;
        }

        /** A full share turns newcomers away before they run; live entries stay. */
        boolean room(Duration now) {
            return kb(now) + entryKb <= shareKb;
        }

        void open(Invocation inv, Duration now) {
            // A repeat may be read long after it came: an entry is known for one more client
            // timeout.
            Duration known = now.minus(inv.operation().clientTimeout());
            while (!order.isEmpty() && after(known, order.peek().expires)) {
                Token old = order.poll();
                entries.remove(old.id, old); // a dropped try that came in again has a later entry
            }
            add(new Token(inv.id(), inv.arrived().plus(inv.operation().window())));
        }

        void add(Token token) {
            entries.put(token.id, token);
            live.add(token);
            order.add(token);
        }

        Token mark(InvId id, Token.State state) {
            return entries.computeIfPresent(id, (same, token) -> token.to(state));
        }

        void leave(Work work) {
            Token token = entries.get(work.inv.forerunner());
            if (token != null) {
                token.waiting.remove(work);
            }
        }
    }

    /**
     * How many run at once: climbed on throughput, never under the cores, and under the crowd that
     * kills.
     */
    public static final class RunLimit {
        private final int cores;
        private final double fallMultiple;
        private final double coldShare;
        private final Duration coldFor;
        private final boolean canStop;
        private double limit;
        private double step = 1;
        private double lastRate;
        private int ends;
        private Duration countedFrom = Duration.ZERO;
        private Duration pressedAt = Duration.ZERO;
        private Duration windowEnd = BUCKET;

        public RunLimit(
                int cores,
                double fallMultiple,
                double coldShare,
                Duration coldFor,
                boolean canStop) {
            this.cores = cores;
            this.fallMultiple = fallMultiple;
            this.coldShare = coldShare;
            this.coldFor = coldFor;
            this.canStop = canStop;
            this.limit = cores;
        }

        /** The limit at this time; a cold server survives a smaller crowd. */
        int now(Duration now) {
            double warm = coldFor.isZero() ? 1 : Math.min(1, seconds(now) / seconds(coldFor));
            double speed = coldShare + (1 - coldShare) * warm;
            return (int)
                    Math.max(
                            cores,
                            Math.min(limit, cores * (1 + (fallMultiple - 1) * speed) * CROWD));
        }

        void ended() {
            ends++;
        }

        /** On each beat; {@code pressed} while the limit alone keeps work in the hold. */
        void observe(Duration now, Gauges gauges, boolean pressed) {
            if (!pressed) {
                pressedAt = now;
            }
            if (now.compareTo(windowEnd) < 0) {
                return;
            }
            // Room that the gauge saw while less ran than may is no room for more.
            boolean climbs = now.minus(pressedAt).compareTo(BUCKET) >= 0 && gauges.coreUse() < ROOM;
            if (climbs) {
                limit = Math.min(limit + step, cores * fallMultiple);
            }
            step = climbs ? step * 2 : 1;
            windowEnd = now.plus(BUCKET);
            if (ends < ENOUGH) {
                return;
            }
            double rate = ends / seconds(now.minus(countedFrom));
            if (gauges.coreUse() > ROOM && rate < lastRate * (1 - FELL)) {
                limit = Math.max(cores, limit - 1);
            }
            lastRate = rate;
            ends = 0;
            countedFrom = now;
        }
    }

    /** Held invocations: their order, what they are expected to cost, and who loses a place. */
    public static final class Hold {
        private final Map<TenantId, Tenant> tenants = new HashMap<>();
        private final Map<TenantId, Ring> sent = new HashMap<>();
        private final int peers;
        private final double overShareWorth;
        private final boolean byWork;
        final List<Work> held = new ArrayList<>();
        private final Map<Operation, Ring> taken = new HashMap<>();
        private final Ring all = new Ring(BUCKET, BUCKETS);
        private final Ring spreads = new Ring(BUCKET, BUCKETS);
        private final Ring away = new Ring(BUCKET, RECENT);

        public Hold(List<Tenant> tenants, int peers, double overShareWorth, boolean byWork) {
            this.overShareWorth = overShareWorth;
            this.byWork = byWork;
            this.peers = peers;
            for (Tenant tenant : tenants) {
                this.tenants.put(tenant.id(), tenant);
            }
        }

        /**
         * Share of the billed value that counts: what a tenant sends beyond its quota is worth
         * little.
         */
        double worth(Invocation inv, Duration now) {
            if (!tenants.containsKey(inv.tenant())) {
                return 1;
            }
            Ring ring = sent.computeIfAbsent(inv.tenant(), t -> new Ring(BUCKET, BUCKETS));
            double span = Math.min(seconds(now), seconds(BUCKET) * BUCKETS);
            double due = tenants.get(inv.tenant()).quota() / Math.max(1, peers) * span;
            if (span > 1 && ring.sum(now) > due + CHANCE * Math.sqrt(due)) {
                return overShareWorth;
            }
            ring.add(now, inv.resent() ? 0 : 1, 1); // a marked further try was counted elsewhere
            return 1;
        }

        void measured(Work work, Duration took, Duration now) {
            double off = seconds(took) / Math.max(1e-6, expected(work.inv, now)) - 1;
            spreads.add(now, Math.min(off * off, 9), 1);
            taken(work.operation()).add(now, seconds(took), guess(work.inv));
            all.add(now, seconds(took), guess(work.inv));
            if (work.operation().calls()) {
                away.add(now, seconds(work.offCores), 1);
            }
        }

        private Ring taken(Operation o) {
            return taken.computeIfAbsent(o, x -> new Ring(BUCKET, BUCKETS));
        }

        boolean holds(String pool) {
            return held.stream().anyMatch(work -> Objects.equals(work.pool, pool));
        }

        private static double guess(Invocation inv) {
            Duration objective = inv.operation().objective();
            return inv.hint() != null ? seconds(inv.hint()) : seconds(objective) * UNKNOWN_WORK;
        }

        /** Expected seconds on the cores: the hint, or a guess, times how such proved of late. */
        double expected(Invocation inv, Duration now) {
            // Without such, how all did: guards against a guess so dear that it is never tried in a
            // crowd.
            return guess(inv) * taken(inv.operation()).mean(now, all.mean(now, 1));
        }

        private double rate(Work work, Duration now) {
            double value = work.operation().value() * work.worth;
            return byWork ? value : value / Math.max(1e-6, expected(work.inv, now));
        }

        /**
         * Billed value over expected work; among equals by turns of their callers, and the oldest
         * first.
         */
        List<Work> ordered(Duration now) {
            Map<Object, Integer> turns = new HashMap<>();
            for (Work work : held) {
                work.rate = rate(work, now);
                work.turn = turns.merge(work.kind, 1, Integer::sum);
            }
            List<Work> ordered = new ArrayList<>(held);
            ordered.sort(
                    Comparator.<Work>comparingDouble(w -> -w.rate)
                            .thenComparingInt(w -> w.turn)
                            .thenComparing(w -> w.inv.arrived())
                            .thenComparing(w -> w.inv.id().value()));
            return ordered;
        }

        /** Seconds of work left in the runs, halved: they end one after another. */
        private double runsLeft(Duration now, List<Work> running) {
            double left = 0;
            for (Work work : running) {
                double done = seconds(now.minus(work.startedAt).minus(work.offCores));
                left += Math.max(expected(work.inv, now) - done, expected(work.inv, now) / 4);
            }
            return left / 2;
        }

        /** Time until what comes last would start. */
        Duration wait(Duration now, int limit, List<Work> running, String pool) {
            double ahead = running.size() < limit ? 0 : runsLeft(now, running);
            for (Work work : held) {
                if (Objects.equals(work.pool, pool)) {
                    ahead += expected(work.inv, now);
                }
            }
            return span(ahead / limit);
        }

        /**
         * What has to go so that all that stays is expected to end within its objective, or null.
         */
        Work misfit(Duration now, int limit, List<Work> running, String pool) {
            List<Work> ordered = ordered(now);
            ordered.removeIf(work -> !Objects.equals(work.pool, pool));
            if (limit == 0 && !ordered.isEmpty()) {
                return ordered.get(0); // nobody is there to wait for
            }
            double first = running.size() < limit ? 0 : runsLeft(now, running);
            double ahead = first;
            // What fits by its mean alone misses half the time. A free place is taken all the same.
            double fit = 1 + SPREADS * Math.sqrt(spreads.mean(now, 0));
            for (Work work : ordered) {
                double expected = expected(work.inv, now);
                double calls =
                        work.operation().calls() ? away.mean(now, 0) : 0; // short: part of the fit
                double needed =
                        ahead / limit
                                + expected * (ahead == 0 ? 1 : fit)
                                + (calls > seconds(work.operation().objective()) * LONG_WAIT
                                        ? calls
                                        : 0);
                if (now.plus(span(needed)).compareTo(goal(work)) > 0) {
                    return ahead == first
                            ? work
                            : loser(ordered.subList(0, ordered.indexOf(work) + 1));
                }
                ahead += expected;
            }
            return null;
        }

        /** Whoever has most in the hold, for its share, loses the place of its least urgent. */
        Work loser(List<Work> ordered) {
            Map<Object, Double> counts = new HashMap<>();
            for (Work work : held) {
                counts.merge(group(work), 1 / share(work), Double::sum);
            }
            Work loser = ordered.get(0);
            for (Work work : ordered) {
                if (counts.get(group(work)) >= counts.get(group(loser))) {
                    loser = work;
                }
            }
            return loser;
        }

        private double share(Work w) {
            return tenants.containsKey(w.inv.tenant()) ? tenants.get(w.inv.tenant()).share() : 1;
        }

        private Object group(Work w) {
            return w.inv.tenant() != null ? w.inv.tenant() : w.inv.caller();
        }

        Duration shortest() {
            return taken.keySet().stream()
                    .map(Operation::objective)
                    .sorted()
                    .findFirst()
                    .orElse(BUCKET);
        }
    }

    /** Calls below: how many seconds they may be in hand, and who makes the next. */
    public static final class Calls {
        private final double rate;
        private final double full;
        private final double span;
        private final Duration linger;
        private final int atOnce;
        private final ArrayDeque<Work> parked = new ArrayDeque<>();
        private final Ring took = new Ring(BUCKET, BUCKETS);
        private double level;
        private double starts;
        private Duration filledAt = Duration.ZERO;
        private int inHand;

        public Calls(double slice, int cores, Duration linger, Duration span) {
            this.rate = slice * SLICE;
            this.span = seconds(span);
            this.full =
                    rate * seconds(BUCKET); // what all servers saved up is spent at once in a crowd
            this.level = full;
            this.linger = linger;
            this.atOnce = PARKED * cores;
        }

        /**
         * Seconds in hand that are left. Guards against many servers that each hold a little too
         * much.
         */
        private double left(Duration now) {
            level = Math.min(full, level + rate * seconds(now.minus(filledAt)));
            filledAt = now;
            return level - (inHand * seconds(now) - starts);
        }

        /** Whether one that will call may start: those that wait go first. */
        boolean room(Duration now) {
            return parked.size() < (left(now) > parked.size() * took.mean(now, 0) ? atOnce : 1);
        }

        /** The next to make its call, or null. */
        Work next(Duration now) {
            if (parked.isEmpty() || inHand >= 2 * atOnce || left(now) <= 0) {
                return null;
            }
            // Even if all take so long, the span's sum holds; calls that have become slow go one by
            // one.
            double patience = rate * span / 2 / (1 + inHand);
            if (inHand > 0 && patience < PATIENT * took.mean(now, 0)) {
                return null;
            }
            Work work = parked.poll();
            Duration rest = work.inv.due().minus(LEAD).minus(now);
            work.patience = max(min(rest, span(patience)), BEAT);
            work.calledAt = now;
            starts += seconds(now);
            inHand++;
            return work;
        }

        void ended(Work work, Duration now, boolean givenUp) {
            double held = seconds(now.minus(work.calledAt));
            inHand--;
            starts -= seconds(work.calledAt);
            level -= givenUp ? held + seconds(linger) : held;
            took.add(now, held, 1);
        }
    }

    /** Memory of held and running invocations and kept tokens. */
    public static final class Memory {
        private final double limitKb;
        private final double runFactor;
        private double usedKb;

        public Memory(double memoryKb, double runFactor) {
            this.limitKb = memoryKb * MEMORY;
            this.runFactor = runFactor;
        }

        void release(double kb, boolean ran) {
            usedKb -= ran ? kb * runFactor : kb;
        }

        boolean room(double moreKb, double tokensKb) {
            return usedKb + tokensKb + moreKb <= limitKb;
        }
    }

    /** Leaving: what came after the grace is not run, and all is answered before the kill. */
    public static final class Drain {
        private static final Duration NEVER = Duration.ofDays(10_000);
        private final Duration grace;
        private Duration lastRun = NEVER;
        private Duration kill = NEVER;

        public Drain(Duration grace) {
            this.grace = grace;
        }

        void notice(Duration now, Duration killAt) {
            lastRun = now.plus(grace).minus(BEAT);
            kill = killAt;
        }

        boolean noticed() {
            return kill != NEVER;
        }

        boolean forbids(Invocation inv, Duration now) {
            return inv.arrived().compareTo(lastRun) > 0 || now.compareTo(kill.minus(LEAD)) >= 0;
        }
    }

    /**
     * What callers are told: when to return, whether to try elsewhere, and how open the server is.
     */
    public static final class Signals {
        private final Advert advert;
        private final int cores;
        private final double window;
        private final Duration longest;
        private final Duration longestIdle;
        private final SplittableRandom chance;
        private final Ring reads = new Ring(BUCKET, RECENT);
        private final Ring further = new Ring(BUCKET, RECENT);
        private final Ring throttles = new Ring(BUCKET, RECENT);
        private double openness = 1;
        private double said = 1;
        private Duration delay = Duration.ZERO;
        private Duration lastAge = Duration.ZERO;
        private Duration readAt = Duration.ZERO;
        private Duration idle;
        private Duration linksAt = Duration.ZERO;
        private boolean healthy = true;
        private boolean stalled;

        public Signals(
                Advert advert,
                int callers,
                int cores,
                Duration longest,
                Duration longestIdle,
                SplittableRandom chance) {
            this.advert = advert;
            this.cores = cores;
            this.longestIdle = idle = longestIdle;
            this.window = WINDOW * cores / Math.max(1, callers);
            this.longest = longest;
            this.chance = chance;
        }

        void read(Duration now, Duration age, boolean resent) {
            reads.add(now, 1, 1);
            if (resent) {
                further.add(now, 1, 1);
            }
            delay = min(age, lastAge); // one alone may only have shared its core with runs
            lastAge = age;
            readAt = now;
        }

        /**
         * Guards against a jam of unread invocations: reading starves the runs, and all is late.
         */
        boolean jammed(Duration objective, double share) {
            return seconds(delay) > seconds(objective) * share;
        }

        /**
         * How others fare is guessed from how this server does and what they sent on; twice if it
         * walked.
         */
        boolean crowded(Duration now, boolean resent) {
            double read = Math.max(1, reads.sum(now));
            double room = (1 - throttles.sum(now) / read) * (1 - further.sum(now) / read);
            return chance.nextDouble() > (resent ? room * room : room);
        }

        /** The wait in the hold, spread a little so that not all return at once. */
        Duration advice(Duration wait) {
            return min(
                    longest,
                    span(seconds(max(BEAT, wait.plus(delay))) * chance.nextDouble(0.25, 0.75)));
        }

        /** Opens slowly while little waits, closes quickly while much does. */
        void tell(Server server, Duration wait, Duration objective) {
            if (!stalled && server.now().minus(readAt).compareTo(BUCKET) > 0) {
                delay = Duration.ZERO;
            }
            if (healthy ? jammed(objective, DEEP_JAM) : !jammed(objective, JAM)) {
                // Guards against a jam that feeds itself: callers that wait no longer never get the
                // advice.
                healthy = !healthy;
                server.health(healthy, true);
            }
            boolean tooLong =
                    seconds(wait) > seconds(objective) * LONG_WAIT || jammed(objective, JAM);
            say(server, Math.max(SHUT, Math.min(1, openness * (tooLong ? CLOSE : OPEN))));
        }

        /**
         * Guards against a full table, which turns callers away unread and takes a part of the
         * cores.
         */
        void links(Server server, double open) {
            if (server.now().compareTo(linksAt) < 0) {
                return; // what was closed shows in the next gauge only
            }
            linksAt = server.now().plus(BUCKET);
            Duration shorter = max(BEAT, idle.dividedBy(2));
            Duration longer = min(longestIdle, idle.multipliedBy(2));
            Duration next =
                    open > LINKS * cores ? shorter : open < LINKS * cores / 2 ? longer : idle;
            if (!next.equals(idle)) {
                server.idleAfter(idle = next);
            }
        }

        private void say(Server server, double open) {
            openness = open;
            if (advert == Advert.NONE || openness == said) {
                return;
            }
            said = openness;
            double scaled = advert == Advert.WINDOW ? openness * window : openness;
            server.advertise(advert == Advert.LEVEL ? 1 - openness : scaled);
        }
    }
}
