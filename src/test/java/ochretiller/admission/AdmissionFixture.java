package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import ochretiller.model.CallOutcome;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.model.SideEffect;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/**
 * A server that writes down what it is told, and a choice on it with two cores and ample memory.
 */
final class AdmissionFixture implements ServerActions {
    static final Duration SECOND = Duration.ofSeconds(1);
    static final Operation READ =
            new Operation(
                    "read",
                    SideEffect.IDEMPOTENT,
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
                    SideEffect.KEYED,
                    SECOND.multipliedBy(2),
                    SECOND.multipliedBy(4),
                    3,
                    0,
                    SECOND.multipliedBy(10),
                    true,
                    0);

    final List<String> said = new ArrayList<>();
    final Map<InvocationId, Function<RunOutcome, Action>> runs = new HashMap<>();
    final Map<InvocationId, Function<CallOutcome, Action>> calls = new HashMap<>();
    Duration now = Duration.ZERO;
    boolean keeps = true;

    /** Operations that run in a pool, and what it takes. */
    final Map<Operation, String> pools = new HashMap<>();

    int places = 8;
    int free = 8;

    /** Runs that end so while they are begun, which no host should do and all must survive. */
    RunOutcome.Status atOnce;

    Duration advised;
    private final TreeMap<Duration, List<Function<ResourceGauges, Action>>> timers =
            new TreeMap<>();
    private boolean started;
    double memoryKb = 10_000;
    double entryKb = 10;
    double slice = 2;
    CapacityAdvertisement advert = CapacityAdvertisement.NONE;
    private AdmissionController choice;

    AdmissionController choice() {
        if (choice == null) {
            choice =
                    new AdmissionController(
                            new AdmissionController.IdempotencyTable(entryKb, memoryKb),
                            new AdmissionController.ConcurrencyLimiter(
                                    2, 5, 1, Duration.ZERO, true),
                            new AdmissionController.AdmissionQueue(List.of(), 1, 1, false),
                            new AdmissionController.DownstreamCallLimiter(
                                    slice, 2, Duration.ofMillis(200), SECOND),
                            new AdmissionController.MemoryBudget(memoryKb, 10),
                            new AdmissionController.DrainState(SECOND),
                            new AdmissionController.BackpressureAdvertiser(
                                    advert, 1, 2, SECOND, SECOND, new SplittableRandom(1)));
        }
        return choice;
    }

    Invocation inv(long id, Operation operation, Long forerunner) {
        return new Invocation(
                new InvocationId(id),
                forerunner == null ? null : new InvocationId(forerunner),
                operation,
                10,
                now,
                now.plus(operation.clientTimeout()),
                null,
                new ClientId(id % 2),
                null,
                false);
    }

    /** Reads an invocation, and says what was done about it. */
    List<String> arrive(long id, Operation operation, Long forerunner) {
        return act(choice().onInvocationReceived(inv(id, operation, forerunner)));
    }

    List<String> end(long id, RunOutcome.Status result) {
        return act(
                runs.remove(new InvocationId(id))
                        .apply(new RunOutcome(result, Duration.ofMillis(300))));
    }

    List<String> endCall(long id, CallOutcome.Status result) {
        return act(
                calls.remove(new InvocationId(id))
                        .apply(new CallOutcome(result, Duration.ofMillis(50))));
    }

    /** Lets time go on to {@code at}, with all timers until then. */
    List<String> beat(Duration at) {
        if (!started) {
            choice().onStarted().execute(this);
        }
        started = true;
        said.clear();
        while (!timers.isEmpty() && timers.firstKey().compareTo(at) <= 0) {
            now = timers.firstKey();
            timers.pollFirstEntry()
                    .getValue()
                    .forEach(timer -> timer.apply(ResourceGauges.UNKNOWN).execute(this));
        }
        now = at;
        return said;
    }

    List<String> act(Action step) {
        said.clear();
        step.execute(this);
        return said;
    }

    private void say(String what, InvocationId id) {
        said.add(what + " " + id.value());
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public String poolOf(Operation operation) {
        return pools.get(operation);
    }

    @Override
    public int poolCapacity(String pool) {
        return places;
    }

    @Override
    public int freePoolSlots(String pool) {
        return free;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> then) {
        runs.put(id, then);
        say("run", id);
        if (atOnce != null) {
            runs.remove(id).apply(new RunOutcome(atOnce, Duration.ZERO)).execute(this);
        }
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> then) {
        runs.put(id, then);
        say("replay", id);
    }

    @Override
    public void throttle(InvocationId id, Duration retryIn, boolean last) {
        advised = retryIn;
        say(last ? "last" : "throttle", id);
    }

    @Override
    public void fail(InvocationId id) {
        say("fail", id);
    }

    @Override
    public void stopRun(InvocationId id) {
        say("stop", id);
    }

    @Override
    public void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then) {
        calls.put(id, then);
        say("call", id);
    }

    @Override
    public void skipCall(InvocationId id) {
        say("skip", id);
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration span) {
        say("keep", id);
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return keeps;
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        say("erase", id);
    }

    @Override
    public void schedule(Duration span, Function<ResourceGauges, Action> then) {
        timers.computeIfAbsent(now.plus(span), at -> new ArrayList<>()).add(then);
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        said.add(good ? "well" : "unwell");
    }

    @Override
    public void advertiseCapacity(double value) {
        said.add("advertise " + value);
    }

    @Override
    public void setIdleTimeout(Duration span) {
        said.add("idle " + span);
    }

    @Override
    public void logNote(String text) {
        said.add(text);
    }
}
