package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.logging.Logger;
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.Verdict;
import ochretiller.fleet.peers.Copies;
import ochretiller.fleet.peers.Versions;
import ochretiller.front.Callers;
import ochretiller.front.Failure;
import ochretiller.front.Try;
import ochretiller.gateway.Health;
import ochretiller.keys.Keys;
import ochretiller.model.CallEnd;
import ochretiller.model.CallerId;
import ochretiller.model.Gauges;
import ochretiller.model.InvId;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;
import ochretiller.net.Schedule;
import ochretiller.policy.Choice;
import ochretiller.processor.Link;
import ochretiller.records.Records;
import ochretiller.remembered.Mark;
import ochretiller.remembered.Memory;
import ochretiller.runs.Backend;
import ochretiller.runs.Task;
import ochretiller.server.Server;
import ochretiller.server.Step;
import ochretiller.workers.Workers;

/** The decisions' port on the stages: what they are told, and what becomes of what they say. */
final class Host implements Server {
    private static final Logger LOG = Logger.getLogger(Host.class.getName());

    /** The last moment for a claim, and for word that an end is kept, before an answer is due. */
    private static final Duration CLAIM_LEAD = Duration.ofMillis(120);

    private static final byte[] NOTHING = new byte[0];

    /**
     * How long a repeat with another body waits to see whether its forerunner is a request at all.
     */
    private static final Duration DOUBT = Duration.ofSeconds(1);

    private final Schedule schedule;
    private final Duration shift;
    private final Choice choice;
    private final Callers callers;
    private final Health health;
    private final Keys keys;
    private final Link link;

    /** Null where the processor carries out all runs. */
    private final Workers workers;

    private final Records records;

    /** Null where nothing outlives a restart. */
    private final Recall recall;

    /** Null where each server knows of its own runs alone. */
    private final Copies copies;

    /** Null where each server acts on its own files. */
    private final Versions versions;

    /** Told of each run that is begun. */
    private final Consumer<Try> begun;

    /** Claims of the runs that were begun here, as the fleet knows them. */
    private final Map<InvId, ClaimId> claimed = new HashMap<>();

    /** Runs of a former process whose ends are unknown, by the name that they bear on the link. */
    private final Set<String> adopted = new HashSet<>();

    private final Map<InvId, Try> tries = new HashMap<>();
    private final Map<InvId, InvId> forerunners = new HashMap<>();

    /** Bodies of the calls that runs wait for. */
    private final Map<InvId, byte[]> asks = new HashMap<>();

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
    Host(
            Schedule schedule,
            Duration shift,
            Choice choice,
            Callers callers,
            Health health,
            Keys keys,
            Link link,
            Workers workers,
            Records records,
            Recall recall,
            Copies copies,
            Versions versions,
            Consumer<Try> begun) {
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
        choice.started().act(this);
    }

    /** Puts what a former process has left into the tables, before anything is read here. */
    void restore(Map<String, Operation> operations, Duration processorAge) {
        long id = 0;
        for (Mark mark : recall.taken()) {
            Operation operation = operations.get(mark.operation());
            // An operation that is no more cannot be asked for, and neither can its repeats.
            if (operation == null || !operation.tokened()) {
                continue;
            }
            InvId kept = new InvId(--id); // those that are read count upwards
            Memory.Found known = recall.found(mark, processorAge);
            // Only the processor tells a new process of runs of the old one; a worker's end is not
            // to be had any more.
            Memory.Found found =
                    known == Memory.Found.WAIT && pool(operation) != null
                            ? Memory.Found.ERROR
                            : known;
            Duration until = now().plus(recall.left(mark));
            keys.restore(
                    kept, operation, mark.token(), mark.body(), until, found != Memory.Found.WAIT);
            choice.restored(
                            kept,
                            until,
                            switch (found) {
                                case REPLAY -> RunEnd.Result.SUCCEEDED;
                                case ERROR -> RunEnd.Result.ERRORED;
                                case WAIT -> null;
                            })
                    .act(this);
            if (found == Memory.Found.WAIT) {
                adopt(mark, operation, kept, until);
            }
        }
    }

    private void adopt(Mark mark, Operation operation, InvId kept, Duration until) {
        adopted.add(mark.rid());
        link.adopt(
                mark.rid(),
                mark.operation(),
                (end, took, result) -> {
                    adopted.remove(mark.rid());
                    // Guards against a second effect: this run was begun, whatever the processor
                    // still knows of it.
                    RunEnd.Result known =
                            end == RunEnd.Result.NOTHING ? RunEnd.Result.ERRORED : end;
                    LOG.info(
                            () ->
                                    "the run "
                                            + mark.rid()
                                            + " of a former process has ended: "
                                            + end.externalName());
                    recall.settled(
                            mark,
                            operation,
                            known,
                            result,
                            () -> {
                                keys.ended(
                                        kept,
                                        true,
                                        known == RunEnd.Result.SUCCEEDED ? result : null,
                                        now());
                                choice.restored(kept, until, known).act(this);
                            });
                });
    }

    void leave(Duration kill) {
        choice.leave(now().plus(kill)).act(this);
    }

    /** A time on the schedule as the decisions count it. */
    private Duration counted(Duration at) {
        return at.plus(shift);
    }

    void arrived(Try inv) {
        Duration arrived = counted(inv.arrived);
        InvId forerunner =
                keys.read(inv.id, inv.operation, inv.token, inv.object, arrived, inv.t0, now());
        boolean differs = forerunner != null && keys.differs(forerunner, inv.operation, inv.body);
        if (adopted.contains(inv.rid)) {
            callers.fail(
                    inv, Failure.RID_IN_USE); // guards against an answer with the result of another
            return;
        }
        if (differs && keys.over(forerunner)) {
            callers.fail(inv, Failure.OTHER_BODY);
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
        choice.arrived(
                        new Invocation(
                                inv.id,
                                forerunner,
                                inv.operation,
                                inv.kb,
                                arrived,
                                arrived.plus(inv.operation.clientTimeout()),
                                null,
                                new CallerId(inv.caller),
                                null,
                                false))
                .act(this);
    }

    private void doubted(Try inv, InvId forerunner) {
        if (inv.answered() || !keys.differs(forerunner, inv.operation, inv.body)) {
            return;
        }
        callers.fail(inv, Failure.OTHER_BODY);
        gone(inv);
    }

    void gone(Try inv) {
        choice.gone(inv.id).act(this);
        settle(inv);
    }

    /** A run waits for a call. */
    void asked(String rid, byte[] body) {
        if (adopted.contains(rid)) {
            // Whether its call was made is not known, and a call that may have run is never made
            // again.
            link.interrupt(rid);
            return;
        }
        Try inv = callers.find(rid);
        if (inv == null) {
            return;
        }
        asks.put(inv.id, body);
        choice.blocked(inv.id).act(this);
    }

    /** Forgets what was answered, unless it still runs. */
    private void settle(Try inv) {
        if (!inv.answered() || inv.running()) {
            return;
        }
        if (tries.remove(inv.id) == null) {
            return;
        }
        forerunners.remove(inv.id);
        asks.remove(inv.id);
        keys.ended(inv.id, inv.operation.tokened(), null, now());
        callers.forget(inv);
    }

    @Override
    public Duration now() {
        return counted(schedule.now());
    }

    @Override
    public void run(InvId id, Function<RunEnd, Step> then) {
        Try inv = tries.get(id);
        inv.runs(true);
        boolean pooled = pool(inv.operation) != null;
        if (pooled) {
            workers.expect(inv.operation.name(), 1);
        }
        Runnable not =
                () -> {
                    if (pooled) {
                        workers.expect(inv.operation.name(), -1);
                    }
                    inv.runs(false);
                    then.apply(new RunEnd(RunEnd.Result.NOT_BEGUN, Duration.ZERO)).act(this);
                    settle(inv);
                };
        if (shutOut(inv)) {
            schedule.post(not); // the decisions are still at work on what it is run for
        } else if (copies != null && inv.operation.tokened()) {
            claim(inv, () -> mark(inv, then, not), not);
        } else {
            mark(inv, then, not);
        }
    }

    private void mark(Try inv, Function<RunEnd, Step> then, Runnable not) {
        Runnable begins =
                () -> {
                    // Looked at last: a server that slept through the end of its lease, or through
                    // a version, acts on nothing old.
                    if (!shutOut(inv)) {
                        begin(inv, then);
                        return;
                    }
                    if (recall != null) {
                        recall.ended(inv, RunEnd.Result.NOT_BEGUN, null, () -> {});
                    }
                    if (copies != null) {
                        neverRan(inv);
                    }
                    not.run();
                };
        if (recall == null) {
            begins.run();
        } else {
            recall.mark(
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
    private boolean shutOut(Try inv) {
        return versions != null && inv.operation.tokened() && !versions.may();
    }

    // ---- what the fleet knows of a token

    private static String body(Try inv) {
        return Copies.body(inv.operation.name(), Keys.hash(inv.body));
    }

    private Duration due(Try inv) {
        return inv.arrived.plus(inv.operation.clientTimeout()).minus(CLAIM_LEAD);
    }

    private static Duration windowEnds(Try inv) {
        return inv.arrived.plus(inv.operation.window());
    }

    /** Runs one of the two; a repeat that the fleet has an answer for is answered here. */
    private void claim(Try inv, Runnable granted, Runnable not) {
        copies.claim(
                inv.token,
                body(inv),
                due(inv),
                windowEnds(inv),
                verdict ->
                        schedule.post(
                                () -> {
                                    if (verdict.what() == Verdict.What.RUN) {
                                        if (verdict.claim() != null) {
                                            claimed.put(inv.id, verdict.claim());
                                        }
                                        // Looked at last: whose caller has its answer, or who slept
                                        // meanwhile, begins nothing.
                                        if (!inv.answered()
                                                && schedule.now().compareTo(due(inv)) < 0) {
                                            granted.run();
                                            return;
                                        }
                                        neverRan(inv);
                                    } else if (verdict.what() == Verdict.What.REPLAY) {
                                        callers.succeed(
                                                inv,
                                                verdict.outcome()
                                                        .result()
                                                        .getBytes(StandardCharsets.ISO_8859_1),
                                                true);
                                    } else if (verdict.what() != Verdict.What.THROTTLED) {
                                        callers.fail(
                                                inv,
                                                switch (verdict.what()) {
                                                    case OTHER_BODY -> Failure.OTHER_BODY;
                                                    case ENDED -> Failure.FAILED;
                                                    default -> Failure.UNKNOWN_END;
                                                });
                                    }
                                    not.run();
                                }));
    }

    private void neverRan(Try inv) {
        ClaimId claim = claimed.remove(inv.id);
        if (claim != null) {
            copies.neverRan(claim, windowEnds(inv));
        }
    }

    /**
     * The fleet hears of the end of a claimed run; {@code then} is told, by the due time, whether
     * it is kept there.
     */
    private void copied(Try inv, RunEnd.Result end, byte[] result, Consumer<Boolean> then) {
        ClaimId claim = claimed.remove(inv.id);
        if (claim == null) {
            then.accept(true);
        } else if (end == RunEnd.Result.NOTHING || end == RunEnd.Result.NOT_BEGUN) {
            copies.neverRan(claim, windowEnds(inv));
            then.accept(true);
        } else {
            boolean good = end == RunEnd.Result.SUCCEEDED;
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

    private void begin(Try inv, Function<RunEnd, Step> then) {
        InvId id = inv.id;
        begun.accept(inv);
        Task task =
                new Task(
                        inv.rid,
                        inv.operation.name(),
                        inv.body,
                        inv.operation.idempotent(),
                        inv.token,
                        inv.arrived.plus(inv.operation.clientTimeout()));
        backend(inv.operation)
                .begin(
                        task,
                        (end, took, result) -> {
                            records.abandon(inv.rid);
                            boolean[] told = {false};
                            Runnable answer =
                                    () -> {
                                        inv.runs(false);
                                        if (end == RunEnd.Result.SUCCEEDED) {
                                            keys.ended(id, inv.operation.tokened(), result, now());
                                            callers.succeed(inv, result);
                                        } else if (end != RunEnd.Result.NOT_BEGUN) {
                                            callers.fail(
                                                    inv, Failure.FAILED); // also where it ended
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
                                recall.ended(inv, end, result, kept);
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
                                                callers.fail(inv, Failure.UNKNOWN_END);
                                            }
                                            kept.run();
                                        });
                            }
                            // The decisions hear of it at once, though its answer may still wait
                            // for the disk: the core is free.
                            then.apply(new RunEnd(end, took)).act(this);
                            told[0] = true;
                            settle(inv);
                        });
    }

    private Backend backend(Operation operation) {
        return pool(operation) == null ? link : workers;
    }

    @Override
    public String pool(Operation operation) {
        return workers == null ? null : workers.pool(operation.name());
    }

    @Override
    public int places(String pool) {
        return workers.places(pool);
    }

    @Override
    public int free(String pool) {
        return workers.free(pool);
    }

    @Override
    public boolean keeps() {
        return recall == null || recall.keeps();
    }

    @Override
    public void replay(InvId id, Function<RunEnd, Step> then) {
        Try inv = tries.get(id);
        InvId kept = inv.token == null ? forerunners.get(id) : keys.kept(inv.token);
        // In the next gathering: the decisions are still at work on the arrival.
        InvId same = keys.differs(kept, inv.operation, inv.body) ? null : kept;
        keys.result(
                same,
                result -> {
                    // What has no room in memory, or was never read back since a restart, is on the
                    // disk.
                    if (result == null && same != null && recall != null && inv.token != null) {
                        recall.result(inv.token, read -> replayed(inv, read, then));
                    } else {
                        schedule.post(() -> replayed(inv, result, then));
                    }
                });
    }

    private void replayed(Try inv, byte[] result, Function<RunEnd, Step> then) {
        if (result == null) {
            callers.fail(inv, Failure.NO_RESULT);
        } else {
            callers.succeed(inv, result, true);
        }
        then.apply(
                        new RunEnd(
                                result == null ? RunEnd.Result.ERRORED : RunEnd.Result.SUCCEEDED,
                                Duration.ZERO))
                .act(this);
        settle(inv);
    }

    @Override
    public void throttle(InvId id, Duration retryIn, boolean last) {
        Try inv = tries.get(id);
        if (inv == null) {
            return;
        }
        callers.throttle(inv, retryIn, last);
        settle(inv);
    }

    @Override
    public void fail(InvId id) {
        Try inv = tries.get(id);
        if (inv == null) {
            return;
        }
        InvId first = inv.operation.tokened() ? forerunners.get(id) : null;
        callers.fail(
                inv,
                first == null
                        ? Failure.GIVEN_UP
                        : keys.over(first) ? Failure.FAILED : Failure.IN_FLIGHT);
        settle(inv);
    }

    @Override
    public void stop(InvId id) {
        Try inv = tries.get(id);
        if (inv != null) {
            backend(inv.operation).interrupt(inv.rid);
        }
    }

    @Override
    public void call(InvId id, Duration patience, Function<CallEnd, Step> then) {
        Try inv = tries.get(id);
        records.call(
                inv.rid,
                patience,
                asks.getOrDefault(id, NOTHING),
                (end, reply) -> {
                    if (end.result() == CallEnd.Result.SUCCEEDED) {
                        asks.remove(id);
                        link.answer(inv.rid, reply);
                    }
                    then.apply(end).act(this);
                });
    }

    @Override
    public void skipCall(InvId id) {
        LOG.warning(
                "the processor's page has no way to go on without a call"); // settings allow none
        // either
    }

    @Override
    public void keep(InvId id, Duration span) {
        Try inv = tries.get(id);
        keys.keep(id, inv.operation, inv.token, inv.body, inv.t0, now().plus(span));
    }

    @Override
    public void erase(InvId id) {
        keys.erase(id);
    }

    @Override
    public void after(Duration span, Function<Gauges, Step> then) {
        schedule.after(
                span,
                () -> {
                    then.apply(link.gauges()).act(this);
                    link.askGauges(); // the next timer's
                });
    }

    @Override
    public void health(boolean good, boolean stored) {
        health.set(good, stored);
    }

    @Override
    public void advertise(double value) {
        health.advertise(value);
    }

    @Override
    public void idleAfter(Duration span) {
        callers.idleAfter(span);
    }

    @Override
    public void note(String text) {
        LOG.info(text);
    }
}
