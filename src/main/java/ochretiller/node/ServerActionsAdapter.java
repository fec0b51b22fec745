package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.logging.Logger;
import ochretiller.admission.AdmissionController;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.service.ReplicationService;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.Attempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.RestoredAttempt;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.jsonrpc.HealthChecks;
import ochretiller.model.CallOutcome;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.net.Scheduler;
import ochretiller.processor.ProcessorClient;
import ochretiller.records.RecordsClient;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.workers.UwsgiRunBackend;

/** The decisions' port on the stages: what they are told, and what becomes of what they say. */
final class ServerActionsAdapter implements ServerActions {
    private static final Logger LOG = Logger.getLogger(ServerActionsAdapter.class.getName());

    /** The last moment for a claim, and for word that an end is kept, before an answer is due. */
    private static final Duration CLAIM_LEAD = Duration.ofMillis(120);

    private static final byte[] NOTHING = new byte[0];

    /**
     * How long a repeat with another body waits to see whether its forerunner is a request at all.
     */
    private static final Duration DOUBT = Duration.ofSeconds(1);

    private final Scheduler schedule;
    private final Duration shift;
    private final AdmissionController choice;
    private final ClientConnections callers;
    private final HealthChecks health;
    private final IdempotencyCache keys;
    private final ProcessorClient link;

    /** Null where the processor carries out all runs. */
    private final UwsgiRunBackend workers;

    private final RecordsClient records;

    /** Null where nothing outlives a restart. */
    private final DurableIdempotency recall;

    /** Null where each server knows of its own runs alone. */
    private final ReplicationService copies;

    /** Null where each server acts on its own files. */
    private final RolloutService versions;

    /** Told of each run that is begun. */
    private final Consumer<RequestAttempt> begun;

    /** Claims of the runs that were begun here, as the fleet knows them. */
    private final Map<InvocationId, ClaimId> claimed = new HashMap<>();

    /** Runs of a former process whose ends are unknown, by the name that they bear on the link. */
    private final Set<String> adopted = new HashSet<>();

    private final Map<InvocationId, RequestAttempt> tries = new HashMap<>();
    private final Map<InvocationId, InvocationId> forerunners = new HashMap<>();

    /** Bodies of the calls that runs wait for. */
    private final Map<InvocationId, byte[]> asks = new HashMap<>();

    /**
     * The port; {@link #start} lets the decisions begin.
     *
     * @param shift the decisions' time, since the processor's start, less the schedule's
     * @param workers what carries out runs of operations that have a pool, or null
     * @param recall what outlives a restart, or null
     * @param copies what the fleet keeps of claims and results, or null
     * @param versions what the fleet brings out, or null
     * @param begun told of each run that is begun
     */
    ServerActionsAdapter(
            Scheduler schedule,
            Duration shift,
            AdmissionController choice,
            ClientConnections callers,
            HealthChecks health,
            IdempotencyCache keys,
            ProcessorClient link,
            UwsgiRunBackend workers,
            RecordsClient records,
            DurableIdempotency recall,
            ReplicationService copies,
            RolloutService versions,
            Consumer<RequestAttempt> begun) {
        this.schedule = schedule;
        this.shift = shift;
        this.choice = choice;
        this.callers = callers;
        this.health = health;
        this.keys = keys;
        this.link = link;
        this.workers = workers;
        this.records = records;
        this.recall = recall;
        this.copies = copies;
        this.versions = versions;
        this.begun = begun;
    }

    void start() {
        choice.onStarted().execute(this);
    }

    /** Puts what a former process has left into the tables, before anything is read here. */
    void restorePreviousRuns(Map<String, Operation> operations, Duration processorAge) {
        long id = 0;
        for (IdempotencyRecord mark : recall.takePreviousRuns()) {
            Operation operation = operations.get(mark.operation());
            // An operation that is no more cannot be asked for, and neither can its repeats.
            if (operation == null || !operation.isKeyed()) {
                continue;
            }
            InvocationId kept = new InvocationId(--id); // those that are read count upwards
            RecoveryDecision known = recall.classifyPreviousRun(mark, processorAge);
            // Only the processor tells a new process of runs of the old one; a worker's end is not
            // to be had any more.
            RecoveryDecision found =
                    known == RecoveryDecision.AWAIT_OUTCOME && poolOf(operation) != null
                            ? RecoveryDecision.REJECT
                            : known;
            Duration until = now().plus(recall.left(mark));
            keys.restore(
                    new RestoredAttempt(
                            kept,
                            operation,
                            mark.token(),
                            mark.bodyDigest(),
                            found != RecoveryDecision.AWAIT_OUTCOME),
                    until);
            choice.onEntryRestored(
                            kept,
                            until,
                            switch (found) {
                                case REPLAY -> RunOutcome.Status.SUCCEEDED;
                                case REJECT -> RunOutcome.Status.FAILED;
                                case AWAIT_OUTCOME -> null;
                            })
                    .execute(this);
            if (found == RecoveryDecision.AWAIT_OUTCOME) {
                adopt(mark, operation, kept, until);
            }
        }
    }

    private void adopt(
            IdempotencyRecord mark, Operation operation, InvocationId kept, Duration until) {
        adopted.add(mark.runId());
        link.adopt(
                mark.runId(),
                mark.operation(),
                (end, took, result) -> {
                    adopted.remove(mark.runId());
                    // Guards against a second effect: this run was begun, whatever the processor
                    // still knows of it.
                    RunOutcome.Status known =
                            end == RunOutcome.Status.NEVER_STARTED ? RunOutcome.Status.FAILED : end;
                    LOG.info(
                            () ->
                                    "the run "
                                            + mark.runId()
                                            + " of a former process has ended: "
                                            + end.externalName());
                    recall.onPreviousRunFinished(
                            mark,
                            operation,
                            known,
                            result,
                            () -> {
                                keys.complete(
                                        kept,
                                        Optional.ofNullable(
                                                known == RunOutcome.Status.SUCCEEDED
                                                        ? result
                                                        : null),
                                        now());
                                choice.onEntryRestored(kept, until, known).execute(this);
                            });
                });
    }

    void onShutdownNotice(Duration kill) {
        choice.onShutdownNotice(now().plus(kill)).execute(this);
    }

    /** A time on the schedule as the decisions count it. */
    private Duration counted(Duration at) {
        return at.plus(shift);
    }

    private Attempt attempt(RequestAttempt inv) {
        return new Attempt(
                inv.id,
                inv.operation,
                Optional.ofNullable(inv.token),
                Optional.ofNullable(inv.object),
                counted(inv.arrived),
                inv.t0);
    }

    void onRequestRead(RequestAttempt inv) {
        Duration arrived = counted(inv.arrived);
        InvocationId forerunner = keys.findOriginalOrTrack(attempt(inv), now()).orElse(null);
        boolean differs =
                forerunner != null && keys.conflictsWith(forerunner, inv.operation, inv.body);
        if (adopted.contains(inv.rid)) {
            callers.fail(
                    inv,
                    FailureReason
                            .RID_IN_USE); // guards against an answer with the result of another
            return;
        }
        if (differs && keys.isCompleted(forerunner)) {
            callers.fail(inv, FailureReason.OTHER_BODY);
            return;
        }
        tries.put(inv.id, inv);
        // Guards against a stranger who took the token first: the processor rejects that one, and
        // this may run then.
        if (differs) {
            schedule.after(DOUBT, () -> doubted(inv, forerunner));
        }
        if (forerunner != null) {
            forerunners.put(inv.id, forerunner);
        }
        choice.onInvocationReceived(
                        new Invocation(
                                inv.id,
                                forerunner,
                                inv.operation,
                                inv.kb,
                                arrived,
                                arrived.plus(inv.operation.clientTimeout()),
                                null,
                                new ClientId(inv.caller),
                                null,
                                false))
                .execute(this);
    }

    private void doubted(RequestAttempt inv, InvocationId forerunner) {
        if (inv.answered() || !keys.conflictsWith(forerunner, inv.operation, inv.body)) {
            return;
        }
        callers.fail(inv, FailureReason.OTHER_BODY);
        onClientGone(inv);
    }

    void onClientGone(RequestAttempt inv) {
        choice.onClientGone(inv.id).execute(this);
        settle(inv);
    }

    /** A run waits for a call. */
    void onCallRequested(String rid, byte[] body) {
        if (adopted.contains(rid)) {
            // Whether its call was made is not known, and a call that may have run is never made
            // again.
            link.cancelRun(rid);
            return;
        }
        RequestAttempt inv = callers.find(rid);
        if (inv == null) {
            return;
        }
        asks.put(inv.id, body);
        choice.onCallRequested(inv.id).execute(this);
    }

    /** Forgets what was answered, unless it still runs. */
    private void settle(RequestAttempt inv) {
        if (!inv.answered() || inv.running()) {
            return;
        }
        if (tries.remove(inv.id) == null) {
            return;
        }
        forerunners.remove(inv.id);
        asks.remove(inv.id);
        keys.complete(inv.id, Optional.empty(), now());
        callers.forget(inv);
    }

    @Override
    public Duration now() {
        return counted(schedule.now());
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> then) {
        RequestAttempt inv = tries.get(id);
        inv.runs(true);
        boolean pooled = poolOf(inv.operation) != null;
        if (pooled) {
            workers.expect(inv.operation.name(), 1);
        }
        Runnable not =
                () -> {
                    if (pooled) {
                        workers.expect(inv.operation.name(), -1);
                    }
                    inv.runs(false);
                    then.apply(new RunOutcome(RunOutcome.Status.NOT_DISPATCHED, Duration.ZERO))
                            .execute(this);
                    settle(inv);
                };
        if (shutOut(inv)) {
            schedule.post(not); // the decisions are still at work on what it is run for
        } else if (copies != null && inv.operation.isKeyed()) {
            claim(inv, () -> mark(inv, then, not), not);
        } else {
            mark(inv, then, not);
        }
    }

    private void mark(RequestAttempt inv, Function<RunOutcome, Action> then, Runnable not) {
        Runnable begins =
                () -> {
                    // Looked at last: a server that slept through the end of its lease, or through
                    // a version, acts on nothing old.
                    if (!shutOut(inv)) {
                        begin(inv, then);
                        return;
                    }
                    if (recall != null) {
                        recall.onRunFinished(inv, RunOutcome.Status.NOT_DISPATCHED, null, () -> {});
                    }
                    if (copies != null) {
                        neverRan(inv);
                    }
                    not.run();
                };
        if (recall == null) {
            begins.run();
        } else {
            recall.writeMarker(
                    inv,
                    begins,
                    () -> {
                        if (copies != null) {
                            neverRan(inv);
                        }
                        not.run();
                    });
        }
    }

    /** Whether keyed work has no place here now: the voters have not let this server go on. */
    private boolean shutOut(RequestAttempt inv) {
        return versions != null && inv.operation.isKeyed() && !versions.may();
    }

    // ---- what the fleet knows of a token

    private static String body(RequestAttempt inv) {
        return ReplicationService.body(inv.operation.name(), IdempotencyCache.bodyDigest(inv.body));
    }

    private Duration due(RequestAttempt inv) {
        return inv.arrived.plus(inv.operation.clientTimeout()).minus(CLAIM_LEAD);
    }

    private static Duration windowEnds(RequestAttempt inv) {
        return inv.arrived.plus(inv.operation.deduplicationWindow());
    }

    /** Runs one of the two; a repeat that the fleet has an answer for is answered here. */
    private void claim(RequestAttempt inv, Runnable granted, Runnable not) {
        copies.claim(
                inv.token,
                body(inv),
                due(inv),
                windowEnds(inv),
                verdict ->
                        schedule.post(
                                () -> {
                                    if (verdict.kind() == ClaimDecision.Kind.RUN) {
                                        verdict.claimId()
                                                .ifPresent(claim -> claimed.put(inv.id, claim));

                                        // Looked at last: whose caller has its answer, or who slept
                                        // meanwhile, begins nothing.
                                        if (!inv.answered()
                                                && schedule.now().compareTo(due(inv)) < 0) {
                                            granted.run();
                                            return;
                                        }
                                        neverRan(inv);
                                    } else if (verdict.kind() == ClaimDecision.Kind.REPLAY) {
                                        callers.succeed(
                                                inv,
                                                verdict.outcome()
                                                        .orElseThrow()
                                                        .result()
                                                        .getBytes(StandardCharsets.ISO_8859_1),
                                                true);
                                    } else if (verdict.kind() != ClaimDecision.Kind.THROTTLED) {
                                        callers.fail(
                                                inv,
                                                switch (verdict.kind()) {
                                                    case FINGERPRINT_MISMATCH ->
                                                            FailureReason.OTHER_BODY;
                                                    case COMPLETED_WITHOUT_RESULT ->
                                                            FailureReason.FAILED;
                                                    default -> FailureReason.UNKNOWN_END;
                                                });
                                    }
                                    not.run();
                                }));
    }

    private void neverRan(RequestAttempt inv) {
        ClaimId claim = claimed.remove(inv.id);
        if (claim != null) {
            copies.neverRan(claim, windowEnds(inv));
        }
    }

    /**
     * The fleet hears of the end of a claimed run; {@code then} is told, by the due time, whether
     * it is kept there.
     */
    private void copied(
            RequestAttempt inv, RunOutcome.Status end, byte[] result, Consumer<Boolean> then) {
        ClaimId claim = claimed.remove(inv.id);
        if (claim == null) {
            then.accept(true);
        } else if (end == RunOutcome.Status.NEVER_STARTED
                || end == RunOutcome.Status.NOT_DISPATCHED) {
            copies.neverRan(claim, windowEnds(inv));
            then.accept(true);
        } else {
            boolean good = end == RunOutcome.Status.SUCCEEDED;
            copies.ended(
                    claim,
                    body(inv),
                    good ? result : null,
                    due(inv),
                    windowEnds(inv),
                    good ? then : kept -> {});
            if (!good) {
                then.accept(true); // there is no result that could be lost
            }
        }
    }

    private void begin(RequestAttempt inv, Function<RunOutcome, Action> then) {
        InvocationId id = inv.id;
        begun.accept(inv);
        RunRequest task =
                new RunRequest(
                        inv.rid,
                        inv.operation.name(),
                        inv.body,
                        inv.operation.isIdempotent(),
                        inv.token,
                        inv.arrived.plus(inv.operation.clientTimeout()));
        backend(inv.operation)
                .startRun(
                        task,
                        (end, took, result) -> {
                            records.abandon(inv.rid);
                            boolean[] told = {false};
                            Runnable answer =
                                    () -> {
                                        inv.runs(false);
                                        if (end == RunOutcome.Status.SUCCEEDED) {
                                            keys.complete(id, Optional.ofNullable(result), now());
                                            callers.succeed(inv, result);
                                        } else if (end != RunOutcome.Status.NOT_DISPATCHED) {
                                            callers.fail(
                                                    inv,
                                                    FailureReason.FAILED); // also where it ended
                                            // unasked: what was read is
                                            // never left unanswered
                                        }
                                        if (told[0]) {
                                            settle(inv);
                                        }
                                    };
                            // The disk here and the keepers hear of it in the same moment; its
                            // answer waits for both.
                            int[] wait = {2};
                            Runnable kept =
                                    () -> {
                                        if (--wait[0] == 0) {
                                            answer.run();
                                        }
                                    };
                            if (recall == null) {
                                kept.run();
                            } else {
                                recall.onRunFinished(inv, end, result, kept);
                            }
                            if (copies == null) {
                                kept.run();
                            } else {
                                copied(
                                        inv,
                                        end,
                                        result,
                                        good -> {
                                            // Nothing is answered as succeeded that a repeat
                                            // elsewhere might not find.
                                            if (!good) {
                                                callers.fail(inv, FailureReason.UNKNOWN_END);
                                            }
                                            kept.run();
                                        });
                            }
                            // The decisions hear of it at once, though its answer may still wait
                            // for the disk: the core is free.
                            then.apply(new RunOutcome(end, took)).execute(this);
                            told[0] = true;
                            settle(inv);
                        });
    }

    private RunBackend backend(Operation operation) {
        return poolOf(operation) == null ? link : workers;
    }

    @Override
    public String poolOf(Operation operation) {
        return workers == null ? null : workers.pool(operation.name());
    }

    @Override
    public int poolCapacity(String pool) {
        return workers.places(pool);
    }

    @Override
    public int freePoolSlots(String pool) {
        return workers.free(pool);
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return recall == null || recall.acceptsNewMarkers();
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> then) {
        RequestAttempt inv = tries.get(id);
        InvocationId kept =
                inv.token == null ? forerunners.get(id) : keys.findByToken(inv.token).orElse(null);
        // In the next gathering: the decisions are still at work on the arrival.
        InvocationId same = keys.conflictsWith(kept, inv.operation, inv.body) ? null : kept;
        keys.whenCompleted(
                Optional.ofNullable(same),
                cached -> {
                    byte[] result = cached.orElse(null);
                    // What has no room in memory, or was never read back since a restart, is on the
                    // disk.
                    if (result == null && same != null && recall != null && inv.token != null) {
                        recall.readResult(inv.token, read -> replayed(inv, read, then));
                    } else {
                        schedule.post(() -> replayed(inv, result, then));
                    }
                });
    }

    private void replayed(RequestAttempt inv, byte[] result, Function<RunOutcome, Action> then) {
        if (result == null) {
            callers.fail(inv, FailureReason.NO_RESULT);
        } else {
            callers.succeed(inv, result, true);
        }
        then.apply(
                        new RunOutcome(
                                result == null
                                        ? RunOutcome.Status.FAILED
                                        : RunOutcome.Status.SUCCEEDED,
                                Duration.ZERO))
                .execute(this);
        settle(inv);
    }

    @Override
    public void throttle(InvocationId id, Duration retryIn, boolean last) {
        RequestAttempt inv = tries.get(id);
        if (inv == null) {
            return;
        }
        callers.throttle(inv, retryIn, last);
        settle(inv);
    }

    @Override
    public void fail(InvocationId id) {
        RequestAttempt inv = tries.get(id);
        if (inv == null) {
            return;
        }
        InvocationId first = inv.operation.isKeyed() ? forerunners.get(id) : null;
        callers.fail(
                inv,
                first == null
                        ? FailureReason.GIVEN_UP
                        : keys.isCompleted(first) ? FailureReason.FAILED : FailureReason.IN_FLIGHT);
        settle(inv);
    }

    @Override
    public void stopRun(InvocationId id) {
        RequestAttempt inv = tries.get(id);
        if (inv != null) {
            backend(inv.operation).cancelRun(inv.rid);
        }
    }

    @Override
    public void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then) {
        RequestAttempt inv = tries.get(id);
        records.call(
                inv.rid,
                patience,
                asks.getOrDefault(id, NOTHING),
                (end, reply) -> {
                    if (end.status() == CallOutcome.Status.SUCCEEDED) {
                        asks.remove(id);
                        link.answer(inv.rid, reply);
                    }
                    then.apply(end).execute(this);
                });
    }

    @Override
    public void skipCall(InvocationId id) {
        LOG.warning(
                "the processor's page has no way to go on without a call"); // settings allow none
        // either
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration span) {
        RequestAttempt inv = tries.get(id);
        keys.track(attempt(inv), inv.body, now().plus(span));
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        keys.forget(id);
    }

    @Override
    public void schedule(Duration span, Function<ResourceGauges, Action> then) {
        schedule.after(
                span,
                () -> {
                    then.apply(link.gauges()).execute(this);
                    link.askGauges(); // the next timer's
                });
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        health.set(good, stored);
    }

    @Override
    public void advertiseCapacity(double value) {
        health.advertise(value);
    }

    @Override
    public void setIdleTimeout(Duration span) {
        callers.idleAfter(span);
    }

    @Override
    public void logNote(String text) {
        LOG.info(text);
    }
}
