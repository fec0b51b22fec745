package ochretiller.admission;

import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.READ;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import ochretiller.model.CallOutcome;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/** A host that records its actions, and a controller on it with two cores and ample memory. */
final class AdmissionFixture implements ServerActions {
    static final Duration SECOND = Duration.ofSeconds(1);

    /** Settings of the controller, to be changed before its first use. */
    final AdmissionControllerBuilder settings =
            AdmissionController.builder()
                    .cores(2)
                    .survivableConcurrencyMultiple(5)
                    .canCancelRuns(true)
                    .memoryKb(10_000)
                    .runMemoryFactor(10)
                    .idempotencyEntryKb(10)
                    .downstreamCallShare(2)
                    .serviceTimeAfterTimeout(Duration.ofMillis(200))
                    .callAveragingPeriod(SECOND)
                    .gracePeriod(SECOND)
                    .longestRetryAfter(SECOND)
                    .longestIdleTimeout(SECOND);

    /** Actions executed on the host since the last event, in order. */
    final List<String> actions = new ArrayList<>();

    final Map<InvocationId, Function<RunOutcome, Action>> runs = new HashMap<>();
    final Map<InvocationId, Function<CallOutcome, Action>> calls = new HashMap<>();

    Duration now = Duration.ZERO;
    boolean acceptsIdempotencyEntries = true;

    /** Whether the host throws an exception from each start of a run. */
    boolean isFaulty;

    /** Names of the worker pools, by the operations that run in them. */
    final Map<Operation, String> pools = new HashMap<>();

    int poolCapacity = 8;
    int freePoolSlots = 8;

    /** Status of runs that end inside {@code startRun}, which violates the host's contract. */
    Optional<RunOutcome.Status> immediateRunStatus = Optional.empty();

    /** The Retry-After of the last rejection. */
    Duration lastRetryAfter;

    private final TreeMap<Duration, List<Function<ResourceGauges, Action>>> timers =
            new TreeMap<>();
    private boolean isStarted;
    private AdmissionController controller;

    AdmissionController controller() {
        if (controller == null) {
            controller = settings.build(new SplittableRandom(1));
        }
        return controller;
    }

    /** Reads a first attempt that has just arrived, and returns the resulting actions. */
    List<String> receive(long id, Operation operation) {
        return receive(invocation(id, operation).arrivedAt(now).build());
    }

    /** Reads an attempt that repeats another, and returns the resulting actions. */
    List<String> receiveRetry(long id, Operation operation, long originalId) {
        return receive(invocation(id, operation).retryOf(originalId).arrivedAt(now).build());
    }

    List<String> receive(Invocation invocation) {
        return execute(controller().onInvocationReceived(invocation));
    }

    /** Occupies both cores, so that the next invocation is queued. */
    void occupyBothCores() {
        receive(101, READ);
        receive(102, READ);
    }

    List<String> endRun(long id, RunOutcome.Status status) {
        return endRun(id, status, Duration.ofMillis(300));
    }

    List<String> endRun(long id, RunOutcome.Status status, Duration elapsed) {
        Function<RunOutcome, Action> continuation = runs.remove(new InvocationId(id));
        return execute(continuation.apply(new RunOutcome(status, elapsed)));
    }

    List<String> requestCall(long id) {
        return execute(controller().onCallRequested(new InvocationId(id)));
    }

    List<String> endCall(long id, CallOutcome.Status status) {
        Function<CallOutcome, Action> continuation = calls.remove(new InvocationId(id));
        return execute(continuation.apply(new CallOutcome(status, Duration.ofMillis(50))));
    }

    List<String> disconnectClient(long id) {
        return execute(controller().onClientDisconnected(new InvocationId(id)));
    }

    List<String> announceShutdown(Duration killAt) {
        return execute(controller().onShutdownNotice(killAt));
    }

    List<String> restore(long id, Duration expiresAt, RunOutcome.Status status) {
        return execute(controller().onEntryRestored(new InvocationId(id), expiresAt, status));
    }

    /** Returns the number of timers that have not fired. */
    int timerCount() {
        return timers.values().stream().mapToInt(List::size).sum();
    }

    /** Advances the time, fires all timers due until then, and returns their actions. */
    List<String> advanceTo(Duration time) {
        if (!isStarted) {
            controller().onStarted().execute(this);
        }
        isStarted = true;
        actions.clear();
        while (!timers.isEmpty() && timers.firstKey().compareTo(time) <= 0) {
            now = timers.firstKey();
            timers.pollFirstEntry()
                    .getValue()
                    .forEach(timer -> timer.apply(ResourceGauges.UNKNOWN).execute(this));
        }
        now = time;
        return actions;
    }

    List<String> execute(Action action) {
        actions.clear();
        action.execute(this);
        return actions;
    }

    private void log(String action, InvocationId id) {
        actions.add(action + " " + id.value());
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
        return poolCapacity;
    }

    @Override
    public int freePoolSlots(String pool) {
        return freePoolSlots;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        if (isFaulty) {
            throw new IllegalStateException("faulty host");
        }
        runs.put(id, onOutcome);
        log("startRun", id);
        immediateRunStatus.ifPresent(
                status ->
                        runs.remove(id).apply(new RunOutcome(status, Duration.ZERO)).execute(this));
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        runs.put(id, onOutcome);
        log("replayResult", id);
    }

    @Override
    public void throttle(InvocationId id, Duration retryAfter, boolean isFinal) {
        lastRetryAfter = retryAfter;
        log(isFinal ? "throttleFinally" : "throttle", id);
    }

    @Override
    public void fail(InvocationId id) {
        log("fail", id);
    }

    @Override
    public void stopRun(InvocationId id) {
        log("stopRun", id);
    }

    @Override
    public void startCall(
            InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome) {
        calls.put(id, onOutcome);
        log("startCall", id);
    }

    @Override
    public void skipCall(InvocationId id) {
        log("skipCall", id);
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration window) {
        log("putEntry", id);
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return acceptsIdempotencyEntries;
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        log("removeEntry", id);
    }

    @Override
    public void schedule(Duration delay, Function<ResourceGauges, Action> onTimer) {
        timers.computeIfAbsent(now.plus(delay), at -> new ArrayList<>()).add(onTimer);
    }

    @Override
    public void setHealth(boolean healthy, boolean answersDeepChecks) {
        actions.add(healthy ? "healthy" : "unhealthy");
    }

    @Override
    public void advertiseCapacity(double value) {
        actions.add("advertise " + value);
    }

    @Override
    public void setIdleTimeout(Duration timeout) {
        actions.add("idleTimeout " + timeout);
    }

    @Override
    public void logNote(String text) {
        actions.add(text);
    }
}
