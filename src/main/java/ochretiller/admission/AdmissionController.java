package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.isAfter;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;
import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import ochretiller.model.CallOutcome;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.time.SlidingWindow;

/**
 * All decisions of one server: what it runs, holds, replays, turns away, and what it tells its
 * callers.
 *
 * <p>How it is called: its owner builds the parts, each with its own few settings, and tells what
 * happens by {@link #onStarted}, {@link #onInvocationReceived}, {@link #onCallRequested}, {@link #onClientGone} and {@link
 * #onShutdownNotice}. Each returns a {@link Action} to be acted out on the interface, {@link ServerActions} in
 * {@code ochretiller.server}, where it leaves continuations for what comes of runs, calls and
 * timers. docs/design.md tells why.
 */
public final class AdmissionController {
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

    private final IdempotencyTable tokens;
    private final ConcurrencyLimiter limit;
    private final AdmissionQueue hold;
    private final DownstreamCallLimiter calls;
    private final MemoryBudget memory;
    private final DrainState drain;
    private final BackpressureAdvertiser signals;
    private final Map<InvocationId, TrackedInvocation> works = new LinkedHashMap<>();

    /** Pools that work was read for; all else runs on the cores, which null stands for. */
    private final Set<String> pools = new LinkedHashSet<>();

    private Duration movedAt = Duration.ZERO;

    public AdmissionController(
            IdempotencyTable tokens,
            ConcurrencyLimiter limit,
            AdmissionQueue hold,
            DownstreamCallLimiter calls,
            MemoryBudget memory,
            DrainState drain,
            BackpressureAdvertiser signals) {
        this.tokens = tokens;
        this.limit = limit;
        this.hold = hold;
        this.calls = calls;
        this.memory = memory;
        this.drain = drain;
        this.signals = signals;
    }

    /** The server has started. */
    public Action onStarted() {
        return server -> {
            server.setHealth(true, true);
            server.schedule(BEAT, this::beat);
        };
    }

    /** An invocation has been read and lies in the hold. */
    public Action onInvocationReceived(Invocation inv) {
        return server -> {
            TrackedInvocation work = new TrackedInvocation(inv);
            works.put(inv.id(), work);
            work.pool = server.poolOf(inv.operation());
            if (work.pool != null) {
                pools.add(work.pool);
            }
            memory.usedKb += inv.memoryKb();
            signals.read(server.now(), server.now().minus(inv.arrivedAt()), inv.isRetry());
            work.worth = hold.worth(inv, server.now());
            IdempotencyEntry token =
                    inv.originalAttempt() == null
                            ? null
                            : tokens.entries.get(inv.originalAttempt());
            boolean repeats = inv.operation().isKeyed() && inv.originalAttempt() != null;
            if (repeats && (token == null || token.state != IdempotencyEntry.State.DROPPED)) {
                repeat(server, work, token);
            } else {
                admit(server, work);
            }
            squeeze(server);
            fill(server);
            for (Duration at : List.of(goal(work), inv.deadline().minus(LEAD))) {
                server.schedule(timeUntil(at, server.now()), gauges -> then -> overdue(then, work));
            }
        };
    }

    /**
     * A repeat of a kept try: it replays the answer, or waits for the mark to clear, and never
     * runs.
     */
    private void repeat(ServerActions server, TrackedInvocation work, IdempotencyEntry token) {
        if (token == null || token.state == IdempotencyEntry.State.SUCCEEDED) {
            work.state =
                    TrackedInvocation.State
                            .REPLAYING; // an unknown forerunner may have run: its answer, or an
            // error
            server.replayResult(work.inv.id(), end -> then -> forget(work));
        } else if (token.state == IdempotencyEntry.State.LOST) {
            fail(
                    server,
                    work); // guards against a second effect: what failed may have done its work
        } else {
            work.state = TrackedInvocation.State.WAITING;
            token.waiting.add(work);
        }
    }

    private void admit(ServerActions server, TrackedInvocation work) {
        Duration now = server.now();
        // What was read too late to earn anything takes no entry, and may be older than its own
        // window.
        boolean late = now.compareTo(goal(work)) > 0;
        boolean full =
                work.operation().isKeyed()
                        && !(tokens.room(now)
                                && memory.room(tokens.entryKb, tokens.kb(now))
                                && server.acceptsIdempotencyEntries());
        boolean jammed =
                work.operation().isIdempotent()
                        && signals.jammed(hold.shortest(), work.inv.isRetry() ? JAM * SPENT : JAM);
        if (late || full || jammed || drain.forbids(work.inv, now)) {
            throttle(server, work, late);
            return;
        }
        if (work.operation().isKeyed()) {
            // Guards against running twice: the repeat of one that is not kept bears no mark.
            tokens.open(work.inv, now);
            server.putIdempotencyEntry(
                    work.inv.id(),
                    work.inv.arrivedAt().plus(work.operation().deduplicationWindow()).minus(now));
        }
        work.state = TrackedInvocation.State.HELD;
        hold.held.add(work);
    }

    /** Gives up what cannot end in time any more, or has no room. */
    private void squeeze(ServerActions server) {
        while (hold.held.size() > 0) {
            Duration now = server.now();
            TrackedInvocation loser = hold.misfit(now, limit.now(now), running(null), null);
            for (String pool : pools) {
                if (loser == null) {
                    loser = hold.misfit(now, server.poolCapacity(pool), running(pool), pool);
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
    private void fill(ServerActions server) {
        Duration now = server.now();
        int room = limit.now(now) - running(null).size();
        if (room <= 0 && pools.isEmpty() || hold.held.size() == 0) {
            return;
        }
        for (TrackedInvocation work : hold.ordered(now)) {
            boolean here = work.pool == null;
            if (here && room <= 0 || !here && server.freePoolSlots(work.pool) <= 0) {
                continue;
            }
            if (!memory.room(work.inv.memoryKb() * (memory.runFactor - 1), tokens.kb(now))) {
                return;
            }
            if (!here || !work.operation().makesCalls() || calls.room(now)) {
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

    private void run(ServerActions server, TrackedInvocation work) {
        if (work.pool == null && running(null).isEmpty()) {
            movedAt = server.now();
        }
        work.state = TrackedInvocation.State.RUNNING;
        work.ran = true;
        work.startedAt = server.now();
        memory.usedKb += work.inv.memoryKb() * (memory.runFactor - 1);
        tokens.mark(work.inv.id(), IdempotencyEntry.State.RUNNING);
        server.startRun(work.inv.id(), end -> ended(work, end));
    }

    /**
     * A run is over: its mark is cleared, repeats that waited get the answer, and its place is
     * free.
     */
    private Action ended(TrackedInvocation work, RunOutcome end) {
        return server -> {
            Duration now = server.now();
            if (work.pool == null) {
                movedAt = now; // what ends elsewhere does not show that the cores move
            }
            if (work.state == TrackedInvocation.State.CALLING) {
                calls.ended(work, now, true);
            }
            calls.parked.remove(work);
            forget(work);
            boolean succeeded = end.status() == RunOutcome.Status.SUCCEEDED;
            if (succeeded) {
                if (work.pool == null) {
                    limit.ended();
                }
                hold.measured(work, end.elapsed().minus(work.offCores), now);
            }
            boolean never =
                    Set.of(RunOutcome.Status.NEVER_STARTED, RunOutcome.Status.NOT_DISPATCHED)
                            .contains(end.status());
            IdempotencyEntry token =
                    tokens.mark(
                            work.inv.id(),
                            succeeded
                                    ? IdempotencyEntry.State.SUCCEEDED
                                    : never
                                            ? IdempotencyEntry.State.UNRUN
                                            : IdempotencyEntry.State.LOST);
            if (end.status() == RunOutcome.Status.NOT_DISPATCHED && !work.answered) {
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
    public Action onEntryRestored(InvocationId id, Duration expires, RunOutcome.Status end) {
        return server -> {
            if (!tokens.entries.containsKey(id)) {
                tokens.add(new IdempotencyEntry(id, expires));
            }
            IdempotencyEntry token =
                    tokens.mark(
                            id,
                            end == null
                                    ? IdempotencyEntry.State.RUNNING
                                    : end == RunOutcome.Status.SUCCEEDED
                                            ? IdempotencyEntry.State.SUCCEEDED
                                            : IdempotencyEntry.State.LOST);
            if (end != null) {
                token.release().forEach(waiting -> repeat(server, waiting, token));
            }
        };
    }

    /** A running invocation waits for a call below. */
    public Action onCallRequested(InvocationId id) {
        return server -> {
            TrackedInvocation work = works.get(id);
            if (work == null || work.answered) {
                return;
            }
            movedAt = server.now();
            if (work.state == TrackedInvocation.State.RUNNING) {
                work.parkedAt = movedAt;
            }
            work.state = TrackedInvocation.State.PARKED;
            calls.parked.add(work);
            pump(server);
            fill(server);
        };
    }

    private void pump(ServerActions server) {
        Duration now = server.now();
        for (TrackedInvocation work = calls.next(now); work != null; work = calls.next(now)) {
            TrackedInvocation caller = work;
            caller.state = TrackedInvocation.State.CALLING;
            server.startCall(caller.inv.id(), caller.patience, end -> called(caller, end));
        }
    }

    private Action called(TrackedInvocation work, CallOutcome end) {
        return server -> {
            Duration now = server.now();
            calls.ended(work, now, end.status() == CallOutcome.Status.TIMED_OUT);
            boolean succeeded = end.status() == CallOutcome.Status.SUCCEEDED;
            boolean again =
                    end.status().isSafeToRetry(); // a call that may have run is never made again
            boolean skips =
                    !succeeded
                            && !again
                            && !work.answered
                            && work.operation().degradedValueShare() > 0;
            work.state =
                    succeeded || skips
                            ? TrackedInvocation.State.RUNNING
                            : TrackedInvocation.State.PARKED;
            if (succeeded) {
                work.offCores = work.offCores.plus(now.minus(work.parkedAt));
            } else if (skips) {
                server.skipCall(work.inv.id());
            } else if (again) {
                server.schedule(BEAT, gauges -> onCallRequested(work.inv.id()));
            } else if (!work.answered) {
                fail(server, work);
            }
            pump(server);
        };
    }

    /** The caller of an invocation is gone; no answer is owed. */
    public Action onClientGone(InvocationId id) {
        return server -> {
            TrackedInvocation work = works.get(id);
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
    private void stopUnwanted(ServerActions server, TrackedInvocation work) {
        if (limit.canStop && work.operation().isIdempotent()) {
            server.stopRun(work.inv.id());
        }
    }

    /** Notice to leave: the process is killed at {@code kill}. */
    public Action onShutdownNotice(Duration kill) {
        return server -> {
            drain.notice(server.now(), kill);
            server.schedule(timeUntil(kill.minus(LEAD), server.now()), gauges -> this::answerDue);
            server.setHealth(false, true);
            // Until the grace is over it is of use, and its successor may not be known yet.
            server.schedule(
                    timeUntil(drain.lastRun, server.now()), gauges -> then -> signals.say(then, 0));
        };
    }

    private Action beat(ResourceGauges gauges) {
        return server -> {
            Duration now = server.now();
            limit.observe(now, gauges, hold.holds(null) && running(null).size() >= limit.now(now));
            double most =
                    running(null).stream()
                            .mapToDouble(w -> hold.expected(w.inv, now))
                            .max()
                            .orElse(1e9);
            signals.stalled = inSeconds(now.minus(movedAt)) > STALL * most;
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
            signals.links(server, gauges.openConnections());
            server.schedule(BEAT, this::beat);
        };
    }

    private void answerDue(ServerActions server) {
        List.copyOf(works.values()).forEach(w -> overdue(server, w));
    }

    /**
     * Answers in time, whatever still runs: the due time, and the kill of a process that leaves.
     */
    private void overdue(ServerActions server, TrackedInvocation work) {
        Duration now = server.now();
        if (work.answered || !works.containsKey(work.inv.id())) {
            return;
        }
        boolean due = now.compareTo(min(work.inv.deadline(), drain.kill).minus(LEAD)) >= 0;
        Duration end =
                work.state == TrackedInvocation.State.PARKED
                        ? now.plus(ofSeconds(calls.took.mean(now, 0)))
                        : now;
        boolean lost =
                work.ran
                        && work.operation().isIdempotent()
                        && work.operation().lateValueShare() == 0
                        && limit.canStop
                        && hold.holds(work.pool)
                        && end.compareTo(goal(work)) > 0;
        IdempotencyEntry mark = tokens.entries.get(work.inv.originalAttempt());
        boolean held =
                work.state == TrackedInvocation.State.HELD
                        || work.state == TrackedInvocation.State.WAITING
                                && mark != null
                                && mark.state == IdempotencyEntry.State.UNRUN;
        // Guards against a server that stands still: what is held may still be in time elsewhere.
        boolean moot = signals.stalled && work.pool == null && work.operation().isIdempotent();
        if (held && (due || moot || drain.forbids(work.inv, now))) {
            hold.held.remove(work);
            tokens.leave(work);
            throttle(server, work, false);
        } else if (due) {
            // A repeat whose forerunner has started ends here too: to turn it away would be untrue.
            tokens.leave(work);
            fail(server, work);
            if (work.state == TrackedInvocation.State.RUNNING) {
                stopUnwanted(server, work);
            }
        } else if (lost
                && (work.state == TrackedInvocation.State.RUNNING || calls.parked.remove(work))) {
            // Past its objective it earns nothing any more, and others wait for its core or its
            // call.
            work.answered = true;
            server.throttle(work.inv.id(), signals.advice(wait(server, work.pool)), true);
            stopUnwanted(server, work);
        }
    }

    /** Turns away what never ran; {@code last} where no other server could be in time. */
    private void throttle(ServerActions server, TrackedInvocation work, boolean last) {
        Duration now = server.now();
        dropped(server, work);
        Duration back =
                isAfter(now, drain.lastRun)
                        ? signals.longest
                        : signals.advice(wait(server, work.pool));
        server.throttle(
                work.inv.id(),
                back,
                !drain.noticed() && (last || signals.crowded(now, work.inv.isRetry())));
        signals.throttles.add(now, 1, 1);
        work.answered = true;
        forget(work);
    }

    private void fail(ServerActions server, TrackedInvocation work) {
        server.fail(work.inv.id());
        work.answered = true;
        if (work.state == TrackedInvocation.State.PARKED) {
            calls.parked.remove(work);
        }
        if (!work.ran) {
            forget(work);
        }
    }

    /** What never ran leaves no mark; a repeat that waited for it takes its place. */
    private void dropped(ServerActions server, TrackedInvocation work) {
        IdempotencyEntry token = tokens.entries.get(work.inv.id());
        if (token == null || token.state != IdempotencyEntry.State.UNRUN) {
            return;
        }
        List<TrackedInvocation> waiting = token.release();
        token.state = IdempotencyEntry.State.DROPPED;
        tokens.live.remove(token);
        server.removeIdempotencyEntry(work.inv.id());
        for (TrackedInvocation next : waiting) {
            IdempotencyEntry first = tokens.entries.get(waiting.get(0).inv.id());
            if (first == null || first.state == IdempotencyEntry.State.DROPPED) {
                admit(server, next);
            } else {
                repeat(server, next, first);
            }
        }
    }

    private void forget(TrackedInvocation work) {
        if (works.remove(work.inv.id()) != null) {
            memory.release(work.inv.memoryKb(), work.ran);
        }
    }

    private Duration wait(ServerActions server, String pool) {
        return hold.wait(
                server.now(),
                pool == null ? limit.now(server.now()) : Math.max(1, server.poolCapacity(pool)),
                running(pool),
                pool);
    }

    /** What runs on the cores, or in a pool: each has places of its own. */
    private List<TrackedInvocation> running(String pool) {
        return works.values().stream()
                .filter(
                        w ->
                                w.state == TrackedInvocation.State.RUNNING
                                        && Objects.equals(w.pool, pool))
                .toList();
    }

    /** When a run must have ended to earn the whole billed value. */
    private static Duration goal(TrackedInvocation work) {
        Duration spent =
                work.inv.isRetry()
                        ? ofSeconds(inSeconds(work.operation().latencyObjective()) * SPENT)
                        : WAY_BACK;
        return min(
                        work.inv.arrivedAt().plus(work.operation().latencyObjective()),
                        work.inv.deadline())
                .minus(spent);
    }

    /** The table of tokened tries: a repeat is known by its tie to a kept one. */
    public static final class IdempotencyTable {
        private final double entryKb;
        private final double shareKb;
        private final Map<InvocationId, IdempotencyEntry> entries = new HashMap<>();
        private final PriorityQueue<IdempotencyEntry> live =
                new PriorityQueue<>(Comparator.comparing(t -> t.expires));
        private final ArrayDeque<IdempotencyEntry> order = new ArrayDeque<>();

        public IdempotencyTable(double entryKb, double memoryKb) {
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
            while (!order.isEmpty() && isAfter(known, order.peek().expires)) {
                IdempotencyEntry old = order.poll();
                entries.remove(old.id, old); // a dropped try that came in again has a later entry
            }
            add(
                    new IdempotencyEntry(
                            inv.id(), inv.arrivedAt().plus(inv.operation().deduplicationWindow())));
        }

        void add(IdempotencyEntry token) {
            entries.put(token.id, token);
            live.add(token);
            order.add(token);
        }

        IdempotencyEntry mark(InvocationId id, IdempotencyEntry.State state) {
            return entries.computeIfPresent(id, (same, token) -> token.to(state));
        }

        void leave(TrackedInvocation work) {
            IdempotencyEntry token = entries.get(work.inv.originalAttempt());
            if (token != null) {
                token.waiting.remove(work);
            }
        }
    }

    /**
     * How many run at once: climbed on throughput, never under the cores, and under the crowd that
     * kills.
     */
    public static final class ConcurrencyLimiter {
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

        public ConcurrencyLimiter(
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
            double warm = coldFor.isZero() ? 1 : Math.min(1, inSeconds(now) / inSeconds(coldFor));
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
        void observe(Duration now, ResourceGauges gauges, boolean pressed) {
            if (!pressed) {
                pressedAt = now;
            }
            if (now.compareTo(windowEnd) < 0) {
                return;
            }
            // Room that the gauge saw while less ran than may is no room for more.
            boolean climbs =
                    now.minus(pressedAt).compareTo(BUCKET) >= 0 && gauges.cpuUtilization() < ROOM;
            if (climbs) {
                limit = Math.min(limit + step, cores * fallMultiple);
            }
            step = climbs ? step * 2 : 1;
            windowEnd = now.plus(BUCKET);
            if (ends < ENOUGH) {
                return;
            }
            double rate = ends / inSeconds(now.minus(countedFrom));
            if (gauges.cpuUtilization() > ROOM && rate < lastRate * (1 - FELL)) {
                limit = Math.max(cores, limit - 1);
            }
            lastRate = rate;
            ends = 0;
            countedFrom = now;
        }
    }

    /** Held invocations: their order, what they are expected to cost, and who loses a place. */
    public static final class AdmissionQueue {
        private final Map<TenantId, Tenant> tenants = new HashMap<>();
        private final Map<TenantId, SlidingWindow> sent = new HashMap<>();
        private final int peers;
        private final double overShareWorth;
        private final boolean byWork;
        final List<TrackedInvocation> held = new ArrayList<>();
        private final Map<Operation, SlidingWindow> taken = new HashMap<>();
        private final SlidingWindow all = new SlidingWindow(BUCKET, BUCKETS);
        private final SlidingWindow spreads = new SlidingWindow(BUCKET, BUCKETS);
        private final SlidingWindow away = new SlidingWindow(BUCKET, RECENT);

        public AdmissionQueue(
                List<Tenant> tenants, int peers, double overShareWorth, boolean byWork) {
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
            SlidingWindow ring =
                    sent.computeIfAbsent(inv.tenant(), t -> new SlidingWindow(BUCKET, BUCKETS));
            double span = Math.min(inSeconds(now), inSeconds(BUCKET) * BUCKETS);
            double due = tenants.get(inv.tenant()).quotaPerSecond() / Math.max(1, peers) * span;
            if (span > 1 && ring.sum(now) > due + CHANCE * Math.sqrt(due)) {
                return overShareWorth;
            }
            ring.add(now, inv.isRetry() ? 0 : 1, 1); // a marked further try was counted elsewhere
            return 1;
        }

        void measured(TrackedInvocation work, Duration took, Duration now) {
            double off = inSeconds(took) / Math.max(1e-6, expected(work.inv, now)) - 1;
            spreads.add(now, Math.min(off * off, 9), 1);
            taken(work.operation()).add(now, inSeconds(took), guess(work.inv));
            all.add(now, inSeconds(took), guess(work.inv));
            if (work.operation().makesCalls()) {
                away.add(now, inSeconds(work.offCores), 1);
            }
        }

        private SlidingWindow taken(Operation o) {
            return taken.computeIfAbsent(o, x -> new SlidingWindow(BUCKET, BUCKETS));
        }

        boolean holds(String pool) {
            return held.stream().anyMatch(work -> Objects.equals(work.pool, pool));
        }

        private static double guess(Invocation inv) {
            Duration objective = inv.operation().latencyObjective();
            return inv.expectedWork() != null
                    ? inSeconds(inv.expectedWork())
                    : inSeconds(objective) * UNKNOWN_WORK;
        }

        /** Expected seconds on the cores: the hint, or a guess, times how such proved of late. */
        double expected(Invocation inv, Duration now) {
            // Without such, how all did: guards against a guess so dear that it is never tried in a
            // crowd.
            return guess(inv) * taken(inv.operation()).mean(now, all.mean(now, 1));
        }

        private double rate(TrackedInvocation work, Duration now) {
            double value = work.operation().billedValue() * work.worth;
            return byWork ? value : value / Math.max(1e-6, expected(work.inv, now));
        }

        /**
         * Billed value over expected work; among equals by turns of their callers, and the oldest
         * first.
         */
        List<TrackedInvocation> ordered(Duration now) {
            Map<Object, Integer> turns = new HashMap<>();
            for (TrackedInvocation work : held) {
                work.rate = rate(work, now);
                work.turn = turns.merge(work.kind, 1, Integer::sum);
            }
            List<TrackedInvocation> ordered = new ArrayList<>(held);
            ordered.sort(
                    Comparator.<TrackedInvocation>comparingDouble(w -> -w.rate)
                            .thenComparingInt(w -> w.turn)
                            .thenComparing(w -> w.inv.arrivedAt())
                            .thenComparing(w -> w.inv.id().value()));
            return ordered;
        }

        /** Seconds of work left in the runs, halved: they end one after another. */
        private double runsLeft(Duration now, List<TrackedInvocation> running) {
            double left = 0;
            for (TrackedInvocation work : running) {
                double done = inSeconds(now.minus(work.startedAt).minus(work.offCores));
                left += Math.max(expected(work.inv, now) - done, expected(work.inv, now) / 4);
            }
            return left / 2;
        }

        /** Time until what comes last would start. */
        Duration wait(Duration now, int limit, List<TrackedInvocation> running, String pool) {
            double ahead = running.size() < limit ? 0 : runsLeft(now, running);
            for (TrackedInvocation work : held) {
                if (Objects.equals(work.pool, pool)) {
                    ahead += expected(work.inv, now);
                }
            }
            return ofSeconds(ahead / limit);
        }

        /**
         * What has to go so that all that stays is expected to end within its objective, or null.
         */
        TrackedInvocation misfit(
                Duration now, int limit, List<TrackedInvocation> running, String pool) {
            List<TrackedInvocation> ordered = ordered(now);
            ordered.removeIf(work -> !Objects.equals(work.pool, pool));
            if (limit == 0 && !ordered.isEmpty()) {
                return ordered.get(0); // nobody is there to wait for
            }
            double first = running.size() < limit ? 0 : runsLeft(now, running);
            double ahead = first;
            // What fits by its mean alone misses half the time. A free place is taken all the same.
            double fit = 1 + SPREADS * Math.sqrt(spreads.mean(now, 0));
            for (TrackedInvocation work : ordered) {
                double expected = expected(work.inv, now);
                double calls =
                        work.operation().makesCalls()
                                ? away.mean(now, 0)
                                : 0; // short: part of the fit
                double needed =
                        ahead / limit
                                + expected * (ahead == 0 ? 1 : fit)
                                + (calls
                                                > inSeconds(work.operation().latencyObjective())
                                                        * LONG_WAIT
                                        ? calls
                                        : 0);
                if (now.plus(ofSeconds(needed)).compareTo(goal(work)) > 0) {
                    return ahead == first
                            ? work
                            : loser(ordered.subList(0, ordered.indexOf(work) + 1));
                }
                ahead += expected;
            }
            return null;
        }

        /** Whoever has most in the hold, for its share, loses the place of its least urgent. */
        TrackedInvocation loser(List<TrackedInvocation> ordered) {
            Map<Object, Double> counts = new HashMap<>();
            for (TrackedInvocation work : held) {
                counts.merge(group(work), 1 / share(work), Double::sum);
            }
            TrackedInvocation loser = ordered.get(0);
            for (TrackedInvocation work : ordered) {
                if (counts.get(group(work)) >= counts.get(group(loser))) {
                    loser = work;
                }
            }
            return loser;
        }

        private double share(TrackedInvocation w) {
            return tenants.containsKey(w.inv.tenant())
                    ? tenants.get(w.inv.tenant()).serviceShare()
                    : 1;
        }

        private Object group(TrackedInvocation w) {
            return w.inv.tenant() != null ? w.inv.tenant() : w.inv.client();
        }

        Duration shortest() {
            return taken.keySet().stream()
                    .map(Operation::latencyObjective)
                    .sorted()
                    .findFirst()
                    .orElse(BUCKET);
        }
    }

    /** Calls below: how many seconds they may be in hand, and who makes the next. */
    public static final class DownstreamCallLimiter {
        private final double rate;
        private final double full;
        private final double span;
        private final Duration linger;
        private final int atOnce;
        private final ArrayDeque<TrackedInvocation> parked = new ArrayDeque<>();
        private final SlidingWindow took = new SlidingWindow(BUCKET, BUCKETS);
        private double level;
        private double starts;
        private Duration filledAt = Duration.ZERO;
        private int inHand;

        public DownstreamCallLimiter(double slice, int cores, Duration linger, Duration span) {
            this.rate = slice * SLICE;
            this.span = inSeconds(span);
            this.full = rate * inSeconds(BUCKET); // what all servers saved up is spent at once in a
            // crowd
            this.level = full;
            this.linger = linger;
            this.atOnce = PARKED * cores;
        }

        /**
         * Seconds in hand that are left. Guards against many servers that each hold a little too
         * much.
         */
        private double left(Duration now) {
            level = Math.min(full, level + rate * inSeconds(now.minus(filledAt)));
            filledAt = now;
            return level - (inHand * inSeconds(now) - starts);
        }

        /** Whether one that will call may start: those that wait go first. */
        boolean room(Duration now) {
            return parked.size() < (left(now) > parked.size() * took.mean(now, 0) ? atOnce : 1);
        }

        /** The next to make its call, or null. */
        TrackedInvocation next(Duration now) {
            if (parked.isEmpty() || inHand >= 2 * atOnce || left(now) <= 0) {
                return null;
            }
            // Even if all take so long, the span's sum holds; calls that have become slow go one by
            // one.
            double patience = rate * span / 2 / (1 + inHand);
            if (inHand > 0 && patience < PATIENT * took.mean(now, 0)) {
                return null;
            }
            TrackedInvocation work = parked.poll();
            Duration rest = work.inv.deadline().minus(LEAD).minus(now);
            work.patience = max(min(rest, ofSeconds(patience)), BEAT);
            work.calledAt = now;
            starts += inSeconds(now);
            inHand++;
            return work;
        }

        void ended(TrackedInvocation work, Duration now, boolean givenUp) {
            double held = inSeconds(now.minus(work.calledAt));
            inHand--;
            starts -= inSeconds(work.calledAt);
            level -= givenUp ? held + inSeconds(linger) : held;
            took.add(now, held, 1);
        }
    }

    /** Memory of held and running invocations and kept tokens. */
    public static final class MemoryBudget {
        private final double limitKb;
        private final double runFactor;
        private double usedKb;

        public MemoryBudget(double memoryKb, double runFactor) {
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
    public static final class DrainState {
        private static final Duration NEVER = Duration.ofDays(10_000);
        private final Duration grace;
        private Duration lastRun = NEVER;
        private Duration kill = NEVER;

        public DrainState(Duration grace) {
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
            return inv.arrivedAt().compareTo(lastRun) > 0 || now.compareTo(kill.minus(LEAD)) >= 0;
        }
    }

    /**
     * What callers are told: when to return, whether to try elsewhere, and how open the server is.
     */
    public static final class BackpressureAdvertiser {
        private final CapacityAdvertisement advert;
        private final int cores;
        private final double window;
        private final Duration longest;
        private final Duration longestIdle;
        private final SplittableRandom chance;
        private final SlidingWindow reads = new SlidingWindow(BUCKET, RECENT);
        private final SlidingWindow further = new SlidingWindow(BUCKET, RECENT);
        private final SlidingWindow throttles = new SlidingWindow(BUCKET, RECENT);
        private double openness = 1;
        private double said = 1;
        private Duration delay = Duration.ZERO;
        private Duration lastAge = Duration.ZERO;
        private Duration readAt = Duration.ZERO;
        private Duration idle;
        private Duration linksAt = Duration.ZERO;
        private boolean healthy = true;
        private boolean stalled;

        public BackpressureAdvertiser(
                CapacityAdvertisement advert,
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
            return inSeconds(delay) > inSeconds(objective) * share;
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
                    ofSeconds(
                            inSeconds(max(BEAT, wait.plus(delay)))
                                    * chance.nextDouble(0.25, 0.75)));
        }

        /** Opens slowly while little waits, closes quickly while much does. */
        void tell(ServerActions server, Duration wait, Duration objective) {
            if (!stalled && server.now().minus(readAt).compareTo(BUCKET) > 0) {
                delay = Duration.ZERO;
            }
            if (healthy ? jammed(objective, DEEP_JAM) : !jammed(objective, JAM)) {
                // Guards against a jam that feeds itself: callers that wait no longer never get the
                // advice.
                healthy = !healthy;
                server.setHealth(healthy, true);
            }
            boolean tooLong =
                    inSeconds(wait) > inSeconds(objective) * LONG_WAIT || jammed(objective, JAM);
            say(server, Math.max(SHUT, Math.min(1, openness * (tooLong ? CLOSE : OPEN))));
        }

        /**
         * Guards against a full table, which turns callers away unread and takes a part of the
         * cores.
         */
        void links(ServerActions server, double open) {
            if (server.now().compareTo(linksAt) < 0) {
                return; // what was closed shows in the next gauge only
            }
            linksAt = server.now().plus(BUCKET);
            Duration shorter = max(BEAT, idle.dividedBy(2));
            Duration longer = min(longestIdle, idle.multipliedBy(2));
            Duration next =
                    open > LINKS * cores ? shorter : open < LINKS * cores / 2 ? longer : idle;
            if (!next.equals(idle)) {
                server.setIdleTimeout(idle = next);
            }
        }

        private void say(ServerActions server, double open) {
            openness = open;
            if (advert == CapacityAdvertisement.NONE || openness == said) {
                return;
            }
            said = openness;
            double scaled =
                    advert == CapacityAdvertisement.CLIENT_WINDOW ? openness * window : openness;
            server.advertiseCapacity(
                    advert == CapacityAdvertisement.PRIORITY_THRESHOLD ? 1 - openness : scaled);
        }
    }
}
