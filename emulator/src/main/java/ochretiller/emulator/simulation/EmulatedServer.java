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
 * One incarnation of an emulated server: the real admission decisions and idempotency cache, with
 * modelled cores and storage.
 */
final class EmulatedServer implements ServerActions {
    private static final byte[] RESULT = new byte[64];

    /** The defaults of the operator configuration. */
    private static final DurabilityTimeouts DURABILITY_TIMEOUTS =
            new DurabilityTimeouts(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(5));

    private static final byte[] EMPTY_BODY_DIGEST = IdempotencyCache.bodyDigest(new byte[0]);

    /** Core time of a replay as a share of the core time of its run. */
    private static final double REPLAY_WORK_SHARE = 0.05;

    /** Core time of a run that fails in a {@code fail} incident, seconds. */
    private static final double FAST_FAILURE_S = 0.001;

    /** The cache of results may take the server's memory divided by this. */
    private static final int CACHE_MEMORY_DIVISOR = 8;

    /** Lifecycle state; a server that is shutting down first answers its open attempts. */
    enum State {
        UP,
        SHUTTING_DOWN,
        STOPPED
    }

    final String name;

    /** Position in the fleet, which a replacement takes over. */
    final int index;

    private final Simulation simulation;
    private final EventQueue events;
    private final Scenario.Fleet fleet;
    private final RuleChecker rules;

    /** Null if nothing survives a restart. */
    private final DurableStorageModel storage;

    private final DurabilityPolicy durability;
    private long lastAppendNumber;
    private final double serverStartS;
    private final AdmissionController admission;
    private final IdempotencyCache cache;
    private final CpuModel cpu;
    private final Map<InvocationId, RequestAttempt> attempts = new HashMap<>();

    /** Original attempts of the retries in {@code attempts}. */
    private final Map<InvocationId, InvocationId> originals = new HashMap<>();

    private final Set<InvocationId> stopRequests = new HashSet<>();
    private final ArrayDeque<RequestAttempt> inbox = new ArrayDeque<>();
    private final SplittableRandom random;

    /** Actions that came due during a pause, in order. */
    private final List<Runnable> deferredActions = new ArrayList<>();

    private boolean reading;
    private boolean paused;
    private double pausedFrom = -1;
    private double pausedTo = -1;
    private double failureShare;
    private double slowdown = 1;
    private Duration graceEnd = Duration.ofDays(10_000);
    private double memoryKb;
    State state = State.UP;
    boolean healthy = true;

    EmulatedServer(
            Simulation simulation,
            int index,
            int incarnation,
            SettingLookup settings,
            boolean cold,
            DurableStorageModel storage) {
        this.simulation = simulation;
        this.index = index;
        this.name = "box " + index + (incarnation == 0 ? "" : "." + incarnation);
        this.events = simulation.events;
        this.fleet = simulation.scenario.fleet();
        this.rules = simulation.rules;
        this.storage = storage;
        this.serverStartS = events.nowSeconds();
        this.random = simulation.randomStreams.stream(name);
        this.admission = Settings.admissionController(settings, random.split(), cold);
        this.cache =
                new IdempotencyCache(
                        (long) (fleet.memoryKb() * 1024 / CACHE_MEMORY_DIVISOR), Duration.ZERO);
        this.durability = new DurabilityPolicy(DURABILITY_TIMEOUTS, random.split());
        this.cpu =
                new CpuModel(
                        events,
                        fleet.cores(),
                        fleet.crowd(),
                        fleet.loss(),
                        fleet.coldShare(),
                        fleet.coldS(),
                        cold);
        admission.onStarted().execute(this);
        if (storage != null) {
            restore();
        }
    }

    private void restore() {
        long id = 0;
        storage.records.values().removeIf(record -> record.windowEndsAtMillis() <= nowMillis());
        for (IdempotencyRecord record : storage.records.values()) {
            Operation operation = simulation.operations.get(record.operation());
            InvocationId restoredId = new InvocationId(--id);
            Duration expiresAt = now().plusMillis(record.windowEndsAtMillis() - nowMillis());
            // The runs ended with the previous incarnation, so a marker in flight has no outcome.
            boolean succeeded =
                    RecoveryDecision.of(record, nowMillis() + 1) == RecoveryDecision.REPLAY;
            cache.restore(
                    new RestoredAttempt(
                            restoredId, operation, record.token(), record.bodyDigest(), true),
                    expiresAt);
            restoredResults.put(restoredId, succeeded);
            admission
                    .onEntryRestored(
                            restoredId,
                            expiresAt,
                            succeeded ? RunOutcome.Status.SUCCEEDED : RunOutcome.Status.FAILED)
                    .execute(this);
        }
    }

    /** Invocations restored from storage, with true for those that have a result to replay. */
    private final Map<InvocationId, Boolean> restoredResults = new HashMap<>();

    /** Returns the time since the start of the simulation, as stored records use it. */
    private long nowMillis() {
        return events.now().toMillis();
    }

    private static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    @Override
    public Duration now() {
        return events.now().minus(toDuration(serverStartS));
    }

    int attemptCount() {
        return attempts.size();
    }

    int runningJobs() {
        return cpu.jobCount();
    }

    // Events from outside the server.

    /** Accepts an attempt that has arrived at the server; a stopped server resets it. */
    void receive(RequestAttempt attempt) {
        if (state == State.STOPPED) {
            attempt.listener.onAnswer(RequestAttempt.Answer.RESET, Duration.ZERO, false);
            return;
        }
        attempt.arrivedAt = now();
        inbox.add(attempt);
        if (!reading) {
            readNext();
        }
    }

    /** Reads attempts one after another, on a core that is shared with the runs. */
    private void readNext() {
        if (inbox.isEmpty() || state == State.STOPPED) {
            return;
        }
        reading = true;
        double contention = Math.max(1, (double) (cpu.jobCount() + 1) / fleet.cores());
        runAfter(
                fleet.readMs() / 1e3 * slowdown * Math.min(contention, 4),
                () -> {
                    reading = false;
                    RequestAttempt attempt = inbox.poll();
                    if (attempt != null && !attempt.clientGone) {
                        handleArrival(attempt);
                    }
                    readNext();
                });
    }

    /**
     * Runs an action after a delay or, if the server is paused then, at the end of the pause. The
     * action is dropped if the server has stopped.
     */
    private void runAfter(double seconds, Runnable action) {
        events.schedule(
                seconds,
                () -> {
                    if (state == State.STOPPED) {
                        return;
                    }
                    if (paused) {
                        deferredActions.add(action);
                    } else {
                        action.run();
                    }
                });
    }

    private static Attempt toAttempt(RequestAttempt attempt) {
        return new Attempt(
                attempt.id,
                attempt.operation,
                Optional.ofNullable(attempt.token),
                Optional.empty(),
                attempt.arrivedAt,
                IdempotencyCache.NO_CLIENT_TIMESTAMP);
    }

    private void handleArrival(RequestAttempt attempt) {
        rules.attemptRead(
                events.nowSeconds(),
                attempt.id.value(),
                attempt.operation.name(),
                serverStartS
                        + attempt.arrivedAt.toNanos() / 1e9
                        + attempt.operation.clientTimeout().toNanos() / 1e9,
                !attempt.operation.isIdempotent());
        InvocationId originalId = cache.findOriginalOrTrack(toAttempt(attempt), now()).orElse(null);
        attempts.put(attempt.id, attempt);
        if (originalId != null) {
            originals.put(attempt.id, originalId);
        }
        admission
                .onInvocationReceived(
                        new Invocation(
                                attempt.id,
                                originalId,
                                attempt.operation,
                                attempt.sizeKb,
                                attempt.arrivedAt,
                                attempt.arrivedAt.plus(attempt.operation.clientTimeout()),
                                null,
                                new ClientId(attempt.caller),
                                null,
                                attempt.retry))
                .execute(this);
    }

    /** Handles that the gateway no longer waits for an attempt. */
    void clientGone(RequestAttempt attempt) {
        attempt.clientGone = true;
        rules.clientGone(attempt.id.value());
        if (state == State.STOPPED || !attempts.containsKey(attempt.id)) {
            return;
        }
        boolean wasOpen = !attempt.answered;
        attempt.answered = true;
        if (wasOpen) {
            rules.connectionLost(attempt.id.value());
        }
        admission.onClientDisconnected(attempt.id).execute(this);
        removeIfDone(attempt);
    }

    /** Stops the server at once and resets its open attempts. */
    void terminate() {
        if (state == State.STOPPED) {
            return;
        }
        state = State.STOPPED;
        cpu.clear();
        if (storage != null) {
            storage.discardPendingWrites();
        }
        List<RequestAttempt> unanswered = new ArrayList<>(inbox);
        for (RequestAttempt attempt : attempts.values()) {
            if (!attempt.answered) {
                unanswered.add(attempt);
            }
        }
        for (RequestAttempt attempt : unanswered) {
            rules.connectionLost(attempt.id.value());
            attempt.listener.onAnswer(RequestAttempt.Answer.RESET, Duration.ZERO, false);
        }
        inbox.clear();
        attempts.clear();
    }

    void setPaused(boolean shouldPause) {
        if (state == State.STOPPED || paused == shouldPause) {
            return;
        }
        paused = shouldPause;
        cpu.setPaused(shouldPause);
        if (shouldPause) {
            pausedFrom = events.nowSeconds();
        } else {
            pausedTo = events.nowSeconds();
        }
        if (shouldPause) {
            return;
        }
        List<Runnable> actions = new ArrayList<>(deferredActions);
        deferredActions.clear();
        actions.forEach(Runnable::run);
    }

    void setSlowdown(double factor) {
        slowdown = factor;
        cpu.setSlowdown(factor);
    }

    /** Sets the share of new runs that fail at once. */
    void fail(double share) {
        failureShare = share;
    }

    /** Starts a graceful shutdown, at whose end every attempt must have been answered. */
    void shutDown() {
        if (state != State.UP) {
            return;
        }
        state = State.SHUTTING_DOWN;
        graceEnd = now().plus(toDuration(fleet.graceS()));
        admission.onShutdownNotice(now().plus(toDuration(fleet.stopS()))).execute(this);
        events.schedule(
                fleet.stopS(),
                () -> {
                    if (state != State.SHUTTING_DOWN) {
                        return;
                    }
                    List<RequestAttempt> unanswered =
                            attempts.values().stream()
                                    .filter(attempt -> !attempt.answered)
                                    .toList();
                    for (RequestAttempt attempt : unanswered) {
                        rules.serverStoppedWithoutAnswer(
                                events.nowSeconds(), attempt.id.value(), name);
                    }
                    terminate();
                });
    }

    // Actions of the admission decisions.

    private void removeIfDone(RequestAttempt attempt) {
        if (!attempt.answered || attempt.running) {
            return;
        }
        if (attempts.remove(attempt.id) == null) {
            return;
        }
        originals.remove(attempt.id);
        cache.complete(attempt.id, Optional.empty(), now());
    }

    private void sendAnswer(
            RequestAttempt attempt,
            RequestAttempt.Answer answer,
            Duration backoff,
            boolean isFinal) {
        if (attempt.answered) {
            return;
        }
        attempt.answered = true;
        rules.attemptAnswered(
                events.nowSeconds(),
                attempt.id.value(),
                answer == RequestAttempt.Answer.THROTTLED,
                pausedFrom,
                pausedTo);
        attempt.listener.onAnswer(answer, backoff, isFinal);
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        RequestAttempt attempt = attempts.get(id);
        attempt.running = true;
        if (storage == null || !attempt.operation.isKeyed()) {
            beginRun(attempt, onOutcome);
            return;
        }
        Duration deadline = attempt.arrivedAt.plus(attempt.operation.clientTimeout());
        long windowEndMillis =
                nowMillis()
                        + Math.max(
                                0,
                                attempt.arrivedAt
                                        .plus(attempt.operation.deduplicationWindow())
                                        .minus(now())
                                        .toMillis())
                        + 1;
        IdempotencyRecord record =
                new IdempotencyRecord(
                        InvocationProgress.IN_FLIGHT,
                        attempt.token,
                        attempt.operation.name(),
                        "" + id.value(),
                        EMPTY_BODY_DIGEST,
                        nowMillis(),
                        windowEndMillis);
        boolean[] done = {false};
        writeDurably(
                () -> {
                    storage.records.put(attempt.token, record);
                    if (state == State.STOPPED) {
                        return;
                    }
                    if (done[0]) {
                        // The attempt was throttled in the meantime and never ran, so its marker
                        // must not block a retry after a restart.
                        writeDurably(() -> storage.records.remove(attempt.token, record));
                        return;
                    }
                    done[0] = true;
                    beginRun(attempt, onOutcome);
                });
        runAfter(
                durability.markerTimeout(deadline, now()).toNanos() / 1e9,
                () -> {
                    if (done[0]) {
                        return;
                    }
                    done[0] = true;
                    attempt.running = false;
                    onOutcome
                            .apply(new RunOutcome(RunOutcome.Status.NOT_DISPATCHED, Duration.ZERO))
                            .execute(this);
                    removeIfDone(attempt);
                });
    }

    /** Writes to the disk and reports the append to the durability policy. */
    private void writeDurably(Runnable onDurable) {
        long appendNumber = ++lastAppendNumber;
        durability.appendStarted(appendNumber, now());
        storage.write(
                () -> {
                    durability.appendCompleted(appendNumber);
                    onDurable.run();
                });
    }

    private void beginRun(RequestAttempt attempt, Function<RunOutcome, Action> onOutcome) {
        double runStartS = events.nowSeconds();
        rules.runs(
                runStartS,
                attempt.id.value(),
                storage == null ? name : "place " + index,
                attempt.operation.isKeyed() ? attempt.token : null,
                serverStartS
                        + attempt.arrivedAt.plus(attempt.operation.deduplicationWindow()).toNanos()
                                / 1e9,
                serverStartS + graceEnd.toNanos() / 1e9,
                serverStartS + attempt.arrivedAt.toNanos() / 1e9);
        memoryKb += attempt.sizeKb * fleet.runFactor();
        boolean willFail = failureShare > 0 && random.nextDouble() < failureShare;
        boolean makesCall = attempt.operation.makesCalls() && !willFail;
        attempt.job =
                cpu.add(
                        willFail
                                ? FAST_FAILURE_S
                                : makesCall ? attempt.workSeconds / 2 : attempt.workSeconds,
                        () -> {
                            attempt.job = null;
                            if (!makesCall) {
                                handleRunEnd(
                                        attempt,
                                        onOutcome,
                                        runStartS,
                                        willFail
                                                ? RunOutcome.Status.FAILED
                                                : RunOutcome.Status.SUCCEEDED);
                                return;
                            }
                            callContinuations.put(
                                    attempt.id,
                                    () ->
                                            handleRunEnd(
                                                    attempt,
                                                    onOutcome,
                                                    runStartS,
                                                    RunOutcome.Status.SUCCEEDED));
                            stopActions.put(
                                    attempt.id,
                                    () ->
                                            handleRunEnd(
                                                    attempt,
                                                    onOutcome,
                                                    runStartS,
                                                    RunOutcome.Status.STOPPED));
                            admission.onCallRequested(attempt.id).execute(this);
                            // The client was answered and no call was started, so nobody needs
                            // the rest of the run.
                            if (attempt.answered && !attempt.callInProgress) {
                                stopNow(attempt.id);
                            }
                        });
        stopActions.put(
                attempt.id,
                () -> handleRunEnd(attempt, onOutcome, runStartS, RunOutcome.Status.STOPPED));
        // Too many concurrent runs crash the server.
        if (cpu.jobCount() > fleet.fallsAt() * fleet.cores()) {
            simulation.crash(this);
        }
    }

    /** Actions that continue each run after its call. */
    private final Map<InvocationId, Runnable> callContinuations = new HashMap<>();

    /** Actions that end each run early. */
    private final Map<InvocationId, Runnable> stopActions = new HashMap<>();

    private void handleRunEnd(
            RequestAttempt attempt,
            Function<RunOutcome, Action> onOutcome,
            double runStartS,
            RunOutcome.Status status) {
        if (stopActions.remove(attempt.id) == null) {
            return;
        }
        callContinuations.remove(attempt.id);
        memoryKb -= attempt.sizeKb * fleet.runFactor();
        boolean succeeded = status == RunOutcome.Status.SUCCEEDED;
        IdempotencyRecord record =
                storage == null || !attempt.operation.isKeyed()
                        ? null
                        : storage.records.get(attempt.token);
        boolean[] done = {false};
        Runnable answerClient =
                () -> {
                    if (done[0] || state == State.STOPPED) {
                        return;
                    }
                    done[0] = true;
                    attempt.running = false;
                    if (succeeded) {
                        cache.complete(attempt.id, Optional.of(RESULT), now());
                    }
                    sendAnswer(
                            attempt,
                            succeeded
                                    ? RequestAttempt.Answer.SUCCEEDED
                                    : RequestAttempt.Answer.ERRORED,
                            Duration.ZERO,
                            false);
                    removeIfDone(attempt);
                };
        if (record != null) {
            writeDurably(
                    () -> {
                        storage.records.put(
                                attempt.token,
                                record.withProgress(
                                        succeeded
                                                ? InvocationProgress.SUCCEEDED
                                                : InvocationProgress.ENDED_WITHOUT_RESULT));
                        if (succeeded) {
                            answerClient.run();
                        }
                    });
        }
        if (record == null || !succeeded) {
            answerClient.run();
        } else {
            runAfter(
                    durability
                                    .answerTimeout(
                                            attempt.arrivedAt.plus(
                                                    attempt.operation.clientTimeout()),
                                            now())
                                    .toNanos()
                            / 1e9,
                    answerClient);
        }
        onOutcome
                .apply(new RunOutcome(status, toDuration(events.nowSeconds() - runStartS)))
                .execute(this);
        removeIfDone(attempt);
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return storage == null || durability.acceptsNewKeys(now());
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        RequestAttempt attempt = attempts.get(id);
        InvocationId originalId =
                attempt.token == null
                        ? originals.get(id)
                        : cache.findByToken(attempt.token).orElse(null);
        cache.whenCompleted(
                Optional.ofNullable(originalId),
                result ->
                        cpu.add(
                                attempt.workSeconds * REPLAY_WORK_SHARE,
                                () -> {
                                    boolean hasResult =
                                            result.isPresent()
                                                    || restoredResults.getOrDefault(
                                                            originalId, false);
                                    sendAnswer(
                                            attempt,
                                            hasResult
                                                    ? RequestAttempt.Answer.SUCCEEDED
                                                    : RequestAttempt.Answer.ERRORED,
                                            Duration.ZERO,
                                            false);
                                    onOutcome
                                            .apply(
                                                    new RunOutcome(
                                                            hasResult
                                                                    ? RunOutcome.Status.SUCCEEDED
                                                                    : RunOutcome.Status.FAILED,
                                                            Duration.ZERO))
                                            .execute(this);
                                    removeIfDone(attempt);
                                }));
    }

    @Override
    public void throttle(InvocationId id, Duration retryAfter, boolean isFinal) {
        RequestAttempt attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        sendAnswer(attempt, RequestAttempt.Answer.THROTTLED, retryAfter, isFinal);
        removeIfDone(attempt);
    }

    @Override
    public void fail(InvocationId id) {
        RequestAttempt attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        sendAnswer(attempt, RequestAttempt.Answer.ERRORED, Duration.ZERO, false);
        removeIfDone(attempt);
    }

    @Override
    public void stopRun(InvocationId id) {
        // Stops the run in a later event, because the decisions are still handling this one.
        if (stopRequests.add(id)) {
            runAfter(0, () -> stopNow(id));
        }
    }

    private void stopNow(InvocationId id) {
        stopRequests.remove(id);
        RequestAttempt attempt = attempts.get(id);
        Runnable onStop = stopActions.get(id);
        if (attempt == null || onStop == null) {
            return;
        }
        if (attempt.job != null) {
            cpu.remove(attempt.job);
        }
        attempt.job = null;
        onStop.run();
    }

    @Override
    public void startCall(
            InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome) {
        double callStartS = events.nowSeconds();
        RequestAttempt attempt = attempts.get(id);
        if (attempt != null) {
            attempt.callInProgress = true;
        }
        boolean[] done = {false};
        Function<CallOutcome.Status, Runnable> onCallEnd =
                status ->
                        () -> {
                            if (done[0] || state == State.STOPPED) {
                                return;
                            }
                            done[0] = true;
                            if (attempt != null) {
                                attempt.callInProgress = false;
                            }
                            Runnable continueRun = callContinuations.get(id);
                            onOutcome
                                    .apply(
                                            new CallOutcome(
                                                    status,
                                                    toDuration(events.nowSeconds() - callStartS)))
                                    .execute(this);
                            if (continueRun != null && status == CallOutcome.Status.SUCCEEDED) {
                                attempt.job = cpu.add(attempt.workSeconds / 2, continueRun);
                            } else if (continueRun != null && attempt.answered) {
                                stopNow(id);
                            }
                        };
        simulation.callRecordsService(status -> runAfter(0, onCallEnd.apply(status)));
        runAfter(timeout.toNanos() / 1e9, onCallEnd.apply(CallOutcome.Status.TIMED_OUT));
    }

    @Override
    public void skipCall(InvocationId id) {
        Runnable continueRun = callContinuations.get(id);
        RequestAttempt attempt = attempts.get(id);
        if (continueRun != null && attempt != null) {
            attempt.job = cpu.add(attempt.workSeconds / 2, continueRun);
        }
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration window) {
        RequestAttempt attempt = attempts.get(id);
        cache.track(toAttempt(attempt), new byte[0], now().plus(window));
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        cache.discard(id);
    }

    @Override
    public void schedule(Duration delay, Function<ResourceGauges, Action> onTimer) {
        runAfter(delay.toNanos() / 1e9, () -> onTimer.apply(currentGauges()).execute(this));
    }

    private double utilizationAt = -1;
    private double utilization;

    private ResourceGauges currentGauges() {
        if (events.nowSeconds() - utilizationAt >= 0.1) {
            utilization = cpu.sampleUtilization();
            utilizationAt = events.nowSeconds();
        }
        return new ResourceGauges(utilization, cpu.jobCount(), memoryKb / fleet.memoryKb(), 0);
    }

    @Override
    public void setHealth(boolean healthy, boolean answersDeepChecks) {
        this.healthy = healthy;
    }

    @Override
    public void advertiseCapacity(double value) {
        // the modelled gateways ignore it
    }

    @Override
    public void setIdleTimeout(Duration timeout) {
        // connections are not modelled
    }

    @Override
    public void logNote(String text) {
        // the simulation has no log
    }
}
