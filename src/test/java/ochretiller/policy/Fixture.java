package ochretiller.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import ochretiller.model.*;
import ochretiller.server.Server;
import ochretiller.server.Step;

/**
 * A server that writes down what it is told, and a choice on it with two cores and ample memory.
 */
final class Fixture implements Server {
    static final Duration SECOND = Duration.ofSeconds(1);
    static final Operation READ =
            new Operation(
                    "read",
                    Effect.IDEMPOTENT,
                    SECOND.multipliedBy(2),
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);
    static final Operation ORDER =
            new Operation(
                    "order",
                    Effect.TOKENED,
                    SECOND.multipliedBy(2),
                    SECOND.multipliedBy(4),
                    3,
                    0,
                    SECOND.multipliedBy(10),
                    true,
                    0);

    final List<String> said = new ArrayList<>();
    final Map<InvId, Function<RunEnd, Step>> runs = new HashMap<>();
    final Map<InvId, Function<CallEnd, Step>> calls = new HashMap<>();
    Duration now = Duration.ZERO;
    boolean keeps = true;

    /** Operations that run in a pool, and what it takes. */
    final Map<Operation, String> pools = new HashMap<>();

    int places = 8;
    int free = 8;

    /** Runs that end so while they are begun, which no host should do and all must survive. */
    RunEnd.Result atOnce;

    Duration advised;
    private final TreeMap<Duration, List<Function<Gauges, Step>>> timers = new TreeMap<>();
    private boolean started;
    double memoryKb = 10_000;
    double entryKb = 10;
    double slice = 2;
    Advert advert = Advert.NONE;
    private Choice choice;

    Choice choice() {
        if (choice == null) {
            choice =
                    new Choice(
                            new Choice.TokenTable(entryKb, memoryKb),
                            new Choice.RunLimit(2, 5, 1, Duration.ZERO, true),
                            new Choice.Hold(List.of(), 1, 1, false),
                            new Choice.Calls(slice, 2, Duration.ofMillis(200), SECOND),
                            new Choice.Memory(memoryKb, 10),
                            new Choice.Drain(SECOND),
                            new Choice.Signals(
                                    advert, 1, 2, SECOND, SECOND, new SplittableRandom(1)));
        }
        return choice;
    }

    Invocation inv(long id, Operation operation, Long forerunner) {
        return new Invocation(
                new InvId(id),
                forerunner == null ? null : new InvId(forerunner),
                operation,
                10,
                now,
                now.plus(operation.clientTimeout()),
                null,
                new CallerId(id % 2),
                null,
                false);
    }

    /** Reads an invocation, and says what was done about it. */
    List<String> arrive(long id, Operation operation, Long forerunner) {
        return act(choice().arrived(inv(id, operation, forerunner)));
    }

    List<String> end(long id, RunEnd.Result result) {
        return act(runs.remove(new InvId(id)).apply(new RunEnd(result, Duration.ofMillis(300))));
    }

    List<String> endCall(long id, CallEnd.Result result) {
        return act(calls.remove(new InvId(id)).apply(new CallEnd(result, Duration.ofMillis(50))));
    }

    /** Lets time go on to {@code at}, with all timers until then. */
    List<String> beat(Duration at) {
        if (!started) {
            choice().started().act(this);
        }
        started = true;
        said.clear();
        while (!timers.isEmpty() && timers.firstKey().compareTo(at) <= 0) {
            now = timers.firstKey();
            timers.pollFirstEntry().getValue().forEach(timer -> timer.apply(Gauges.NONE).act(this));
        }
        now = at;
        return said;
    }

    List<String> act(Step step) {
        said.clear();
        step.act(this);
        return said;
    }

    private void say(String what, InvId id) {
        said.add(what + " " + id.value());
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public String pool(Operation operation) {
        return pools.get(operation);
    }

    @Override
    public int places(String pool) {
        return places;
    }

    @Override
    public int free(String pool) {
        return free;
    }

    @Override
    public void run(InvId id, Function<RunEnd, Step> then) {
        runs.put(id, then);
        say("run", id);
        if (atOnce != null) {
            runs.remove(id).apply(new RunEnd(atOnce, Duration.ZERO)).act(this);
        }
    }

    @Override
    public void replay(InvId id, Function<RunEnd, Step> then) {
        runs.put(id, then);
        say("replay", id);
    }

    @Override
    public void throttle(InvId id, Duration retryIn, boolean last) {
        advised = retryIn;
        say(last ? "last" : "throttle", id);
    }

    @Override
    public void fail(InvId id) {
        say("fail", id);
    }

    @Override
    public void stop(InvId id) {
        say("stop", id);
    }

    @Override
    public void call(InvId id, Duration patience, Function<CallEnd, Step> then) {
        calls.put(id, then);
        say("call", id);
    }

    @Override
    public void skipCall(InvId id) {
        say("skip", id);
    }

    @Override
    public void keep(InvId id, Duration span) {
        say("keep", id);
    }

    @Override
    public boolean keeps() {
        return keeps;
    }

    @Override
    public void erase(InvId id) {
        say("erase", id);
    }

    @Override
    public void after(Duration span, Function<Gauges, Step> then) {
        timers.computeIfAbsent(now.plus(span), at -> new ArrayList<>()).add(then);
    }

    @Override
    public void health(boolean good, boolean stored) {
        said.add(good ? "well" : "unwell");
    }

    @Override
    public void advertise(double value) {
        said.add("advertise " + value);
    }

    @Override
    public void idleAfter(Duration span) {
        said.add("idle " + span);
    }

    @Override
    public void note(String text) {
        said.add(text);
    }
}
