package ochretiller.emulator.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import ochretiller.admission.AdmissionController;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.rules.RuleChecker;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.idempotency.Attempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.RestoredAttempt;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.idempotency.durable.DurabilityTimeouts;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.model.CallOutcome;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.settings.SettingLookup;
import ochretiller.settings.Settings;

/**
 * One box from its start to its end: the server's decisions and its table of results, on modelled
 * cores.
 */
final class EmulatedServer implements ServerActions {
    private static final byte[] RESULT = new byte[64];

    /** As an operators' file has it by default. */
    private static final DurabilityTimeouts PATIENCE =
            new DurabilityTimeouts(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(5));

    private static final byte[] HASH = IdempotencyCache.bodyDigest(new byte[0]);

    /** Part of a run's work that a replay takes. */
    private static final double REPLAY_PART = 0.05;

    /** What is known to be a fast error takes so long, seconds. */
    private static final double FAST_S = 0.001;

    /** Part of the memory that kept results may take. */
    private static final int KEYS_PART = 8;

    /** How it stands. */
    enum State {
        UP,
        LEAVING,
        DEAD
    }

    final String name;

    /** Its place in the fleet, which its successors take over. */
    final int place;

    private final Simulation world;
    private final EventQueue events;
    private final Scenario.Fleet plan;
    private final RuleChecker rules;
    private final DurableStorageModel disk;
    private final DurabilityPolicy memory;
    private long appends;
    private final double startedAt;
    private final AdmissionController admission;
    private final IdempotencyCache keys;
    private final CpuModel cores;
    private final Map<InvocationId, RequestAttempt> tries = new HashMap<>();
    private final Map<InvocationId, InvocationId> forerunners = new HashMap<>();
    private final Set<InvocationId> halted = new HashSet<>();
    private final ArrayDeque<RequestAttempt> unread = new ArrayDeque<>();
    private final SplittableRandom chance;
    private final List<Runnable> standing = new ArrayList<>();
    private boolean reading;
    private boolean paused;
    private double stoodFrom = -1;
    private double stoodTo = -1;
    private double failing;
    private double slower = 1;
    private Duration grace = Duration.ofDays(10_000);
    private double memoryKb;
    State state = State.UP;
    boolean healthy = true;

    EmulatedServer(
            Simulation world,
            int place,
            int life,
            SettingLookup settings,
            boolean cold,
            DurableStorageModel disk) {
        this.world = world;
        this.place = place;
        this.name = "box " + place + (life == 0 ? "" : "." + life);
        this.events = world.events;
        this.plan = world.script.fleet();
        this.rules = world.rules;
        this.disk = disk;
        this.startedAt = events.seconds();
        this.chance = world.seeds.of(name);
        this.admission = Settings.admissionController(settings, chance.split(), cold);
        this.keys =
                new IdempotencyCache((long) (plan.memoryKb() * 1024 / KEYS_PART), Duration.ZERO);
        this.memory = new DurabilityPolicy(PATIENCE, chance.split());
        this.cores =
                new CpuModel(
                        events,
                        plan.cores(),
                        plan.crowd(),
                        plan.loss(),
                        plan.coldShare(),
                        plan.coldS(),
                        cold);
        admission.onStarted().execute(this);
        if (disk != null) {
            restore();
        }
    }

    private void restore() {
        long id = 0;
        disk.kept.values().removeIf(mark -> mark.windowEndsAtMillis() <= millis());
        for (IdempotencyRecord mark : disk.kept.values()) {
            Operation operation = world.operations.get(mark.operation());
            InvocationId kept = new InvocationId(--id);
            Duration until = now().plusMillis(mark.windowEndsAtMillis() - millis());
            // What runs on a box's cores has ended with it: nobody tells of it any more.
            boolean succeeded = RecoveryDecision.of(mark, millis() + 1) == RecoveryDecision.REPLAY;
            keys.restore(
                    new RestoredAttempt(kept, operation, mark.token(), mark.bodyDigest(), true),
                    until);
            restored.put(kept, succeeded);
            admission
                    .onEntryRestored(
                            kept,
                            until,
                            succeeded ? RunOutcome.Status.SUCCEEDED : RunOutcome.Status.FAILED)
                    .execute(this);
        }
    }

    /** Those of a former life, and whether their results are at hand. */
    private final Map<InvocationId, Boolean> restored = new HashMap<>();

    /** The disk's time. */
    private long millis() {
        return events.now().toMillis();
    }

    private static Duration span(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    @Override
    public Duration now() {
        return events.now().minus(span(startedAt));
    }

    int held() {
        return tries.size();
    }

    int running() {
        return cores.running();
    }

    // What comes from outside.

    /** A message has reached the machine. */
    void receive(RequestAttempt message) {
        if (state == State.DEAD) {
            message.heard.answer(RequestAttempt.Answer.RESET, Duration.ZERO, false);
            return;
        }
        message.arrived = now();
        unread.add(message);
        if (!reading) {
            read();
        }
    }

    /** Messages are read one after another, on a core that the runs share. */
    private void read() {
        if (unread.isEmpty() || state == State.DEAD) {
            return;
        }
        reading = true;
        double crowded = Math.max(1, (double) (cores.running() + 1) / plan.cores());
        later(
                plan.readMs() / 1e3 * slower * Math.min(crowded, 4),
                () -> {
                    reading = false;
                    RequestAttempt message = unread.poll();
                    if (message != null && !message.gone) {
                        arrived(message);
                    }
                    read();
                });
    }

    /**
     * Behind a span and, where the box stands still then, once it goes on; never after its death.
     */
    private void later(double seconds, Runnable work) {
        events.after(
                seconds,
                () -> {
                    if (state == State.DEAD) {
                        return;
                    }
                    if (paused) {
                        standing.add(work);
                    } else {
                        work.run();
                    }
                });
    }

    private static Attempt attempt(RequestAttempt message) {
        return new Attempt(
                message.id,
                message.operation,
                Optional.ofNullable(message.token),
                Optional.empty(),
                message.arrived,
                IdempotencyCache.NO_CLIENT_TIMESTAMP);
    }

    private void arrived(RequestAttempt message) {
        rules.read(
                events.seconds(),
                message.id.value(),
                message.operation.name(),
                startedAt
                        + message.arrived.toNanos() / 1e9
                        + message.operation.clientTimeout().toNanos() / 1e9,
                !message.operation.isIdempotent());
        InvocationId forerunner = keys.findOriginalOrTrack(attempt(message), now()).orElse(null);
        tries.put(message.id, message);
        if (forerunner != null) {
            forerunners.put(message.id, forerunner);
        }
        admission
                .onInvocationReceived(
                        new Invocation(
                                message.id,
                                forerunner,
                                message.operation,
                                message.kb,
                                message.arrived,
                                message.arrived.plus(message.operation.clientTimeout()),
                                null,
                                new ClientId(message.caller),
                                null,
                                message.resent))
                .execute(this);
    }

    /** Its caller waits no more. */
    void gone(RequestAttempt message) {
        message.gone = true;
        rules.gone(message.id.value());
        if (state == State.DEAD || !tries.containsKey(message.id)) {
            return;
        }
        boolean open = !message.answered;
        message.answered = true;
        if (open) {
            rules.died(message.id.value());
        }
        admission.onClientGone(message.id).execute(this);
        settle(message);
    }

    void die() {
        if (state == State.DEAD) {
            return;
        }
        state = State.DEAD;
        cores.clear();
        if (disk != null) {
            disk.died();
        }
        List<RequestAttempt> open = new ArrayList<>(unread);
        for (RequestAttempt message : tries.values()) {
            if (!message.answered) {
                open.add(message);
            }
        }
        for (RequestAttempt message : open) {
            rules.died(message.id.value());
            message.heard.answer(RequestAttempt.Answer.RESET, Duration.ZERO, false);
        }
        unread.clear();
        tries.clear();
    }

    void pause(boolean stands) {
        if (state == State.DEAD || paused == stands) {
            return;
        }
        paused = stands;
        cores.pause(stands);
        if (stands) {
            stoodFrom = events.seconds();
        } else {
            stoodTo = events.seconds();
        }
        if (stands) {
            return;
        }
        List<Runnable> waited = new ArrayList<>(standing);
        standing.clear();
        waited.forEach(Runnable::run);
    }

    void slow(double times) {
        slower = times;
        cores.slow(times);
    }

    void fail(double share) {
        failing = share;
    }

    void leave() {
        if (state != State.UP) {
            return;
        }
        state = State.LEAVING;
        grace = now().plus(span(plan.graceS()));
        admission.onShutdownNotice(now().plus(span(plan.stopS()))).execute(this);
        events.after(
                plan.stopS(),
                () -> {
                    if (state != State.LEAVING) {
                        return;
                    }
                    List<RequestAttempt> late =
                            tries.values().stream().filter(message -> !message.answered).toList();
                    for (RequestAttempt message : late) {
                        rules.unanswered(events.seconds(), message.id.value(), name);
                    }
                    die();
                });
    }

    // What the decisions say.

    private void settle(RequestAttempt message) {
        if (!message.answered || message.running) {
            return;
        }
        if (tries.remove(message.id) == null) {
            return;
        }
        forerunners.remove(message.id);
        keys.complete(message.id, Optional.empty(), now());
    }

    private void answer(
            RequestAttempt message, RequestAttempt.Answer answer, Duration backoff, boolean last) {
        if (message.answered) {
            return;
        }
        message.answered = true;
        rules.answered(
                events.seconds(),
                message.id.value(),
                answer == RequestAttempt.Answer.THROTTLED,
                stoodFrom,
                stoodTo);
        message.heard.answer(answer, backoff, last);
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> then) {
        RequestAttempt message = tries.get(id);
        message.running = true;
        if (disk == null || !message.operation.isKeyed()) {
            begin(message, then);
            return;
        }
        Duration due = message.arrived.plus(message.operation.clientTimeout());
        long until =
                millis()
                        + Math.max(
                                0,
                                message.arrived
                                        .plus(message.operation.deduplicationWindow())
                                        .minus(now())
                                        .toMillis())
                        + 1;
        IdempotencyRecord mark =
                new IdempotencyRecord(
                        InvocationProgress.IN_FLIGHT,
                        message.token,
                        message.operation.name(),
                        "" + id.value(),
                        HASH,
                        millis(),
                        until);
        boolean[] over = {false};
        write(
                () -> {
                    disk.kept.put(message.token, mark);
                    if (state == State.DEAD) {
                        return;
                    }
                    if (over[0]) {
                        // It was throttled meanwhile and never ran: its mark must not stop a repeat
                        // after a restart.
                        write(() -> disk.kept.remove(message.token, mark));
                        return;
                    }
                    over[0] = true;
                    begin(message, then);
                });
        later(
                memory.markerTimeout(due, now()).toNanos() / 1e9,
                () -> {
                    if (over[0]) {
                        return;
                    }
                    over[0] = true;
                    message.running = false;
                    then.apply(new RunOutcome(RunOutcome.Status.NOT_DISPATCHED, Duration.ZERO))
                            .execute(this);
                    settle(message);
                });
    }

    /** A write that the decisions on memory hear of. */
    private void write(Runnable durable) {
        long number = ++appends;
        memory.appendStarted(number, now());
        disk.write(
                () -> {
                    memory.appendCompleted(number);
                    durable.run();
                });
    }

    private void begin(RequestAttempt message, Function<RunOutcome, Action> then) {
        double at = events.seconds();
        rules.runs(
                at,
                message.id.value(),
                disk == null ? name : "place " + place,
                message.operation.isKeyed() ? message.token : null,
                startedAt
                        + message.arrived.plus(message.operation.deduplicationWindow()).toNanos()
                                / 1e9,
                startedAt + grace.toNanos() / 1e9,
                startedAt + message.arrived.toNanos() / 1e9);
        memoryKb += message.kb * plan.runFactor();
        boolean fails = failing > 0 && chance.nextDouble() < failing;
        boolean calls = message.operation.makesCalls() && !fails;
        message.job =
                cores.add(
                        fails ? FAST_S : calls ? message.work / 2 : message.work,
                        () -> {
                            message.job = null;
                            if (!calls) {
                                ended(
                                        message,
                                        then,
                                        at,
                                        fails
                                                ? RunOutcome.Status.FAILED
                                                : RunOutcome.Status.SUCCEEDED);
                                return;
                            }
                            waiting.put(
                                    message.id,
                                    () -> ended(message, then, at, RunOutcome.Status.SUCCEEDED));
                            stopping.put(
                                    message.id,
                                    () -> ended(message, then, at, RunOutcome.Status.STOPPED));
                            admission.onCallRequested(message.id).execute(this);
                            if (message.answered && !message.called) {
                                stopped(message.id); // nobody wants its call any more
                            }
                        });
        stopping.put(message.id, () -> ended(message, then, at, RunOutcome.Status.STOPPED));
        // A crowd on the cores takes the whole box down.
        if (cores.running() > plan.fallsAt() * plan.cores()) {
            world.dies(this);
        }
    }

    /** What goes on once the call of a run is over, and what ends it early. */
    private final Map<InvocationId, Runnable> waiting = new HashMap<>();

    private final Map<InvocationId, Runnable> stopping = new HashMap<>();

    private void ended(
            RequestAttempt message,
            Function<RunOutcome, Action> then,
            double at,
            RunOutcome.Status end) {
        if (stopping.remove(message.id) == null) {
            return;
        }
        waiting.remove(message.id);
        memoryKb -= message.kb * plan.runFactor();
        boolean succeeded = end == RunOutcome.Status.SUCCEEDED;
        IdempotencyRecord mark =
                disk == null || !message.operation.isKeyed() ? null : disk.kept.get(message.token);
        boolean[] over = {false};
        Runnable told =
                () -> {
                    if (over[0] || state == State.DEAD) {
                        return;
                    }
                    over[0] = true;
                    message.running = false;
                    if (succeeded) {
                        keys.complete(message.id, Optional.of(RESULT), now());
                    }
                    answer(
                            message,
                            succeeded
                                    ? RequestAttempt.Answer.SUCCEEDED
                                    : RequestAttempt.Answer.ERRORED,
                            Duration.ZERO,
                            false);
                    settle(message);
                };
        if (mark != null) {
            write(
                    () -> {
                        disk.kept.put(
                                message.token,
                                mark.withProgress(
                                        succeeded
                                                ? InvocationProgress.SUCCEEDED
                                                : InvocationProgress.ENDED_WITHOUT_RESULT));
                        if (succeeded) {
                            told.run();
                        }
                    });
        }
        if (mark == null || !succeeded) {
            told.run();
        } else {
            later(
                    memory.answerTimeout(
                                            message.arrived.plus(message.operation.clientTimeout()),
                                            now())
                                    .toNanos()
                            / 1e9,
                    told);
        }
        then.apply(new RunOutcome(end, span(events.seconds() - at))).execute(this);
        settle(message);
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return disk == null || memory.acceptsNewKeys(now());
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> then) {
        RequestAttempt message = tries.get(id);
        InvocationId kept =
                message.token == null
                        ? forerunners.get(id)
                        : keys.findByToken(message.token).orElse(null);
        keys.whenCompleted(
                Optional.ofNullable(kept),
                result ->
                        cores.add(
                                message.work * REPLAY_PART,
                                () -> {
                                    boolean there =
                                            result.isPresent()
                                                    || restored.getOrDefault(kept, false);
                                    answer(
                                            message,
                                            there
                                                    ? RequestAttempt.Answer.SUCCEEDED
                                                    : RequestAttempt.Answer.ERRORED,
                                            Duration.ZERO,
                                            false);
                                    then.apply(
                                                    new RunOutcome(
                                                            there
                                                                    ? RunOutcome.Status.SUCCEEDED
                                                                    : RunOutcome.Status.FAILED,
                                                            Duration.ZERO))
                                            .execute(this);
                                    settle(message);
                                }));
    }

    @Override
    public void throttle(InvocationId id, Duration retryIn, boolean last) {
        RequestAttempt message = tries.get(id);
        if (message == null) {
            return;
        }
        answer(message, RequestAttempt.Answer.THROTTLED, retryIn, last);
        settle(message);
    }

    @Override
    public void fail(InvocationId id) {
        RequestAttempt message = tries.get(id);
        if (message == null) {
            return;
        }
        answer(message, RequestAttempt.Answer.ERRORED, Duration.ZERO, false);
        settle(message);
    }

    @Override
    public void stopRun(InvocationId id) {
        // In an event of its own: the decisions are at work on what made them say so.
        if (halted.add(id)) {
            later(0, () -> stopped(id));
        }
    }

    private void stopped(InvocationId id) {
        halted.remove(id);
        RequestAttempt message = tries.get(id);
        Runnable end = stopping.get(id);
        if (message == null || end == null) {
            return;
        }
        if (message.job != null) {
            cores.remove(message.job);
        }
        message.job = null;
        end.run();
    }

    @Override
    public void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then) {
        double at = events.seconds();
        RequestAttempt message = tries.get(id);
        if (message != null) {
            message.called = true;
        }
        boolean[] over = {false};
        Function<CallOutcome.Status, Runnable> end =
                result ->
                        () -> {
                            if (over[0] || state == State.DEAD) {
                                return;
                            }
                            over[0] = true;
                            if (message != null) {
                                message.called = false;
                            }
                            Runnable on = waiting.get(id);
                            then.apply(new CallOutcome(result, span(events.seconds() - at)))
                                    .execute(this);
                            if (on != null && result == CallOutcome.Status.SUCCEEDED) {
                                message.job = cores.add(message.work / 2, on);
                            } else if (on != null && message.answered) {
                                stopped(id);
                            }
                        };
        world.toLedger(result -> later(0, end.apply(result)));
        later(patience.toNanos() / 1e9, end.apply(CallOutcome.Status.TIMED_OUT));
    }

    @Override
    public void skipCall(InvocationId id) {
        Runnable on = waiting.get(id);
        RequestAttempt message = tries.get(id);
        if (on != null && message != null) {
            message.job = cores.add(message.work / 2, on);
        }
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration span) {
        RequestAttempt message = tries.get(id);
        keys.track(attempt(message), new byte[0], now().plus(span));
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        keys.forget(id);
    }

    @Override
    public void schedule(Duration span, Function<ResourceGauges, Action> then) {
        later(span.toNanos() / 1e9, () -> then.apply(gauges()).execute(this));
    }

    private double useAt = -1;
    private double use;

    private ResourceGauges gauges() {
        if (events.seconds() - useAt >= 0.1) {
            use = cores.use();
            useAt = events.seconds();
        }
        return new ResourceGauges(use, cores.running(), memoryKb / plan.memoryKb(), 0);
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        healthy = good;
    }

    @Override
    public void advertiseCapacity(double value) {
        // gateways make nothing of it
    }

    @Override
    public void setIdleTimeout(Duration span) {
        // connections are not modelled
    }

    @Override
    public void logNote(String text) {
        // nobody reads it
    }
}
