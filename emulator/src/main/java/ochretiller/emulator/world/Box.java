package ochretiller.emulator.world;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.rules.Rules;
import ochretiller.emulator.script.Script;
import ochretiller.keys.Keys;
import ochretiller.model.CallEnd;
import ochretiller.model.CallerId;
import ochretiller.model.Gauges;
import ochretiller.model.InvId;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;
import ochretiller.policy.Choice;
import ochretiller.remembered.Mark;
import ochretiller.remembered.Memory;
import ochretiller.remembered.Patience;
import ochretiller.server.Server;
import ochretiller.server.Step;
import ochretiller.settings.Lookup;
import ochretiller.settings.Settings;

/**
 * One box from its start to its end: the server's decisions and its table of results, on modelled
 * cores.
 */
final class Box implements Server {
    private static final byte[] RESULT = new byte[64];

    /** As an operators' file has it by default. */
    private static final Patience PATIENCE =
            new Patience(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(5));

    private static final byte[] HASH = Keys.hash(new byte[0]);

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

    private final World world;
    private final Events events;
    private final Script.Fleet plan;
    private final Rules rules;
    private final Disk disk;
    private final Memory memory;
    private long appends;
    private final double startedAt;
    private final Choice choice;
    private final Keys keys;
    private final Cores cores;
    private final Map<InvId, Message> tries = new HashMap<>();
    private final Map<InvId, InvId> forerunners = new HashMap<>();
    private final Set<InvId> halted = new HashSet<>();
    private final ArrayDeque<Message> unread = new ArrayDeque<>();
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

    Box(World world, int place, int life, Lookup settings, boolean cold, Disk disk) {
        this.world = world;
        this.place = place;
        this.name = "box " + place + (life == 0 ? "" : "." + life);
        this.events = world.events;
        this.plan = world.script.fleet();
        this.rules = world.rules;
        this.disk = disk;
        this.startedAt = events.seconds();
        this.chance = world.seeds.of(name);
        this.choice = Settings.choice(settings, chance.split(), cold);
        this.keys = new Keys((long) (plan.memoryKb() * 1024 / KEYS_PART), Duration.ZERO);
        this.memory = new Memory(PATIENCE, chance.split());
        this.cores =
                new Cores(
                        events,
                        plan.cores(),
                        plan.crowd(),
                        plan.loss(),
                        plan.coldShare(),
                        plan.coldS(),
                        cold);
        choice.started().act(this);
        if (disk != null) {
            restore();
        }
    }

    private void restore() {
        long id = 0;
        disk.kept.values().removeIf(mark -> mark.until() <= millis());
        for (Mark mark : disk.kept.values()) {
            Operation operation = world.operations.get(mark.operation());
            InvId kept = new InvId(--id);
            Duration until = now().plusMillis(mark.until() - millis());
            // What runs on a box's cores has ended with it: nobody tells of it any more.
            boolean succeeded = Memory.found(mark, millis() + 1) == Memory.Found.REPLAY;
            keys.restore(kept, operation, mark.token(), mark.body(), until, true);
            restored.put(kept, succeeded);
            choice.restored(
                            kept,
                            until,
                            succeeded ? RunEnd.Result.SUCCEEDED : RunEnd.Result.ERRORED)
                    .act(this);
        }
    }

    /** Those of a former life, and whether their results are at hand. */
    private final Map<InvId, Boolean> restored = new HashMap<>();

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
    void receive(Message message) {
        if (state == State.DEAD) {
            message.heard.answer(Message.Answer.RESET, Duration.ZERO, false);
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
                    Message message = unread.poll();
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

    private void arrived(Message message) {
        rules.read(
                events.seconds(),
                message.id.value(),
                message.operation.name(),
                startedAt
                        + message.arrived.toNanos() / 1e9
                        + message.operation.clientTimeout().toNanos() / 1e9,
                !message.operation.idempotent());
        InvId forerunner =
                keys.read(
                        message.id,
                        message.operation,
                        message.token,
                        null,
                        message.arrived,
                        Keys.UNDATED,
                        now());
        tries.put(message.id, message);
        if (forerunner != null) {
            forerunners.put(message.id, forerunner);
        }
        choice.arrived(
                        new Invocation(
                                message.id,
                                forerunner,
                                message.operation,
                                message.kb,
                                message.arrived,
                                message.arrived.plus(message.operation.clientTimeout()),
                                null,
                                new CallerId(message.caller),
                                null,
                                message.resent))
                .act(this);
    }

    /** Its caller waits no more. */
    void gone(Message message) {
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
        choice.gone(message.id).act(this);
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
        List<Message> open = new ArrayList<>(unread);
        for (Message message : tries.values()) {
            if (!message.answered) {
                open.add(message);
            }
        }
        for (Message message : open) {
            rules.died(message.id.value());
            message.heard.answer(Message.Answer.RESET, Duration.ZERO, false);
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
        choice.leave(now().plus(span(plan.stopS()))).act(this);
        events.after(
                plan.stopS(),
                () -> {
                    if (state != State.LEAVING) {
                        return;
                    }
                    List<Message> late =
                            tries.values().stream().filter(message -> !message.answered).toList();
                    for (Message message : late) {
                        rules.unanswered(events.seconds(), message.id.value(), name);
                    }
                    die();
                });
    }

    // What the decisions say.

    private void settle(Message message) {
        if (!message.answered || message.running) {
            return;
        }
        if (tries.remove(message.id) == null) {
            return;
        }
        forerunners.remove(message.id);
        keys.ended(message.id, message.operation.tokened(), null, now());
    }

    private void answer(Message message, Message.Answer answer, Duration backoff, boolean last) {
        if (message.answered) {
            return;
        }
        message.answered = true;
        rules.answered(
                events.seconds(),
                message.id.value(),
                answer == Message.Answer.THROTTLED,
                stoodFrom,
                stoodTo);
        message.heard.answer(answer, backoff, last);
    }

    @Override
    public void run(InvId id, Function<RunEnd, Step> then) {
        Message message = tries.get(id);
        message.running = true;
        if (disk == null || !message.operation.tokened()) {
            begin(message, then);
            return;
        }
        Duration due = message.arrived.plus(message.operation.clientTimeout());
        long until =
                millis()
                        + Math.max(
                                0,
                                message.arrived
                                        .plus(message.operation.window())
                                        .minus(now())
                                        .toMillis())
                        + 1;
        Mark mark =
                new Mark(
                        Mark.State.MARKED,
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
                memory.markWait(due, now()).toNanos() / 1e9,
                () -> {
                    if (over[0]) {
                        return;
                    }
                    over[0] = true;
                    message.running = false;
                    then.apply(new RunEnd(RunEnd.Result.NOT_BEGUN, Duration.ZERO)).act(this);
                    settle(message);
                });
    }

    /** A write that the decisions on memory hear of. */
    private void write(Runnable durable) {
        long number = ++appends;
        memory.asked(number, now());
        disk.write(
                () -> {
                    memory.acked(number);
                    durable.run();
                });
    }

    private void begin(Message message, Function<RunEnd, Step> then) {
        double at = events.seconds();
        rules.runs(
                at,
                message.id.value(),
                disk == null ? name : "place " + place,
                message.operation.tokened() ? message.token : null,
                startedAt + message.arrived.plus(message.operation.window()).toNanos() / 1e9,
                startedAt + grace.toNanos() / 1e9,
                startedAt + message.arrived.toNanos() / 1e9);
        memoryKb += message.kb * plan.runFactor();
        boolean fails = failing > 0 && chance.nextDouble() < failing;
        boolean calls = message.operation.calls() && !fails;
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
                                        fails ? RunEnd.Result.ERRORED : RunEnd.Result.SUCCEEDED);
                                return;
                            }
                            waiting.put(
                                    message.id,
                                    () -> ended(message, then, at, RunEnd.Result.SUCCEEDED));
                            stopping.put(
                                    message.id,
                                    () -> ended(message, then, at, RunEnd.Result.STOPPED));
                            choice.blocked(message.id).act(this);
                            if (message.answered && !message.called) {
                                stopped(message.id); // nobody wants its call any more
                            }
                        });
        stopping.put(message.id, () -> ended(message, then, at, RunEnd.Result.STOPPED));
        // A crowd on the cores takes the whole box down.
        if (cores.running() > plan.fallsAt() * plan.cores()) {
            world.dies(this);
        }
    }

    /** What goes on once the call of a run is over, and what ends it early. */
    private final Map<InvId, Runnable> waiting = new HashMap<>();

    private final Map<InvId, Runnable> stopping = new HashMap<>();

    private void ended(Message message, Function<RunEnd, Step> then, double at, RunEnd.Result end) {
        if (stopping.remove(message.id) == null) {
            return;
        }
        waiting.remove(message.id);
        memoryKb -= message.kb * plan.runFactor();
        boolean succeeded = end == RunEnd.Result.SUCCEEDED;
        Mark mark =
                disk == null || !message.operation.tokened() ? null : disk.kept.get(message.token);
        boolean[] over = {false};
        Runnable told =
                () -> {
                    if (over[0] || state == State.DEAD) {
                        return;
                    }
                    over[0] = true;
                    message.running = false;
                    if (succeeded) {
                        keys.ended(message.id, message.operation.tokened(), RESULT, now());
                    }
                    answer(
                            message,
                            succeeded ? Message.Answer.SUCCEEDED : Message.Answer.ERRORED,
                            Duration.ZERO,
                            false);
                    settle(message);
                };
        if (mark != null) {
            write(
                    () -> {
                        disk.kept.put(
                                message.token,
                                mark.as(succeeded ? Mark.State.SUCCEEDED : Mark.State.LOST));
                        if (succeeded) {
                            told.run();
                        }
                    });
        }
        if (mark == null || !succeeded) {
            told.run();
        } else {
            later(
                    memory.answerWait(
                                            message.arrived.plus(message.operation.clientTimeout()),
                                            now())
                                    .toNanos()
                            / 1e9,
                    told);
        }
        then.apply(new RunEnd(end, span(events.seconds() - at))).act(this);
        settle(message);
    }

    @Override
    public boolean keeps() {
        return disk == null || memory.keeps(now());
    }

    @Override
    public void replay(InvId id, Function<RunEnd, Step> then) {
        Message message = tries.get(id);
        InvId kept = message.token == null ? forerunners.get(id) : keys.kept(message.token);
        keys.result(
                kept,
                result ->
                        cores.add(
                                message.work * REPLAY_PART,
                                () -> {
                                    boolean there =
                                            result != null || restored.getOrDefault(kept, false);
                                    answer(
                                            message,
                                            there
                                                    ? Message.Answer.SUCCEEDED
                                                    : Message.Answer.ERRORED,
                                            Duration.ZERO,
                                            false);
                                    then.apply(
                                                    new RunEnd(
                                                            there
                                                                    ? RunEnd.Result.SUCCEEDED
                                                                    : RunEnd.Result.ERRORED,
                                                            Duration.ZERO))
                                            .act(this);
                                    settle(message);
                                }));
    }

    @Override
    public void throttle(InvId id, Duration retryIn, boolean last) {
        Message message = tries.get(id);
        if (message == null) {
            return;
        }
        answer(message, Message.Answer.THROTTLED, retryIn, last);
        settle(message);
    }

    @Override
    public void fail(InvId id) {
        Message message = tries.get(id);
        if (message == null) {
            return;
        }
        answer(message, Message.Answer.ERRORED, Duration.ZERO, false);
        settle(message);
    }

    @Override
    public void stop(InvId id) {
        // In an event of its own: the decisions are at work on what made them say so.
        if (halted.add(id)) {
            later(0, () -> stopped(id));
        }
    }

    private void stopped(InvId id) {
        halted.remove(id);
        Message message = tries.get(id);
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
    public void call(InvId id, Duration patience, Function<CallEnd, Step> then) {
        double at = events.seconds();
        Message message = tries.get(id);
        if (message != null) {
            message.called = true;
        }
        boolean[] over = {false};
        Function<CallEnd.Result, Runnable> end =
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
                            then.apply(new CallEnd(result, span(events.seconds() - at))).act(this);
                            if (on != null && result == CallEnd.Result.SUCCEEDED) {
                                message.job = cores.add(message.work / 2, on);
                            } else if (on != null && message.answered) {
                                stopped(id);
                            }
                        };
        world.toLedger(result -> later(0, end.apply(result)));
        later(patience.toNanos() / 1e9, end.apply(CallEnd.Result.TIMED_OUT));
    }

    @Override
    public void skipCall(InvId id) {
        Runnable on = waiting.get(id);
        Message message = tries.get(id);
        if (on != null && message != null) {
            message.job = cores.add(message.work / 2, on);
        }
    }

    @Override
    public void keep(InvId id, Duration span) {
        Message message = tries.get(id);
        keys.keep(
                id, message.operation, message.token, new byte[0], Keys.UNDATED, now().plus(span));
    }

    @Override
    public void erase(InvId id) {
        keys.erase(id);
    }

    @Override
    public void after(Duration span, Function<Gauges, Step> then) {
        later(span.toNanos() / 1e9, () -> then.apply(gauges()).act(this));
    }

    private double useAt = -1;
    private double use;

    private Gauges gauges() {
        if (events.seconds() - useAt >= 0.1) {
            use = cores.use();
            useAt = events.seconds();
        }
        return new Gauges(use, cores.running(), memoryKb / plan.memoryKb(), 0);
    }

    @Override
    public void health(boolean good, boolean stored) {
        healthy = good;
    }

    @Override
    public void advertise(double value) {
        // gateways make nothing of it
    }

    @Override
    public void idleAfter(Duration span) {
        // connections are not modelled
    }

    @Override
    public void note(String text) {
        // nobody reads it
    }
}
