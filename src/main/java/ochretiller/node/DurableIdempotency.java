package ochretiller.node;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.fleet.service.PreviousIncarnation;
import ochretiller.fleet.service.ReplicationService;
import ochretiller.fleet.service.ReplicationSettings;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.durable.DiskHealth;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.idempotency.durable.DurabilityTimeouts;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.metrics.Metrics;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;
import ochretiller.net.Scheduler;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.AppendResult;
import ochretiller.store.BootClock;
import ochretiller.store.StorageDirectory;
import ochretiller.store.Store;
import ochretiller.store.StoreLimits;

/**
 * Carries out what is decided about the memory of keyed invocations: marks and results go to the
 * store, answers wait for them, and what a former process has left is found again. All of it on the
 * one thread.
 */
final class DurableIdempotency implements PreviousIncarnation {
    private static final Logger LOG = Logger.getLogger(DurableIdempotency.class.getName());

    /**
     * How often the store is asked how it does: a fifth of the shortest stall that is worth a word.
     */
    private static final Duration BEAT = Duration.ofMillis(50);

    /**
     * Writes that a sick disk has not taken and that are made once it is well; each is some 4 KiB
     * at most.
     */
    private static final int MOST_LATER = 1_000;

    private static final byte[] NONE = {};

    private final Scheduler schedule;
    private final Store store;
    private final DurabilityPolicy memory;
    private final Map<InvocationId, IdempotencyRecord> marks = new HashMap<>();
    private final Map<String, IdempotencyRecord> restored = new LinkedHashMap<>();
    private final Map<String, Runnable> later = new LinkedHashMap<>();

    /**
     * What former processes have left, for the fleet to ask about; no longer than any of it
     * matters.
     */
    private final Map<String, IdempotencyRecord> left = new HashMap<>();

    private final boolean whole;
    private final Metrics.Counter throttled;
    private final Metrics.Counter early;
    private final Metrics.Counter stalls;
    private final Metrics.Counter givenUp;
    private final Metrics.Counter fromDisk;
    private DiskHealth said = DiskHealth.HEALTHY;
    private long appends;
    private volatile double inDoubt;
    private volatile double oldest;

    /**
     * Takes the folder and reads it; nothing is written yet.
     *
     * @param copies what the fleet keeps in the same store, or null
     * @param longest the longest window of an operation and its client timeout: no mark lives
     *     longer
     */
    DurableIdempotency(
            Scheduler schedule,
            OperatorConfig.Remember remember,
            ReplicationSettings copies,
            StorageDirectory disk,
            Duration longest,
            SplittableRandom chance,
            Metrics metrics)
            throws IOException {
        this.schedule = schedule;
        // What is kept for the fleet has room of its own beside what is remembered here.
        int most = remember.mostEntries() + (copies == null ? 0 : 2 * copies.most());
        long bytes = remember.mostBytes() + (copies == null ? 0 : 4 * copies.mostBytes());
        StoreLimits limits =
                StoreLimits.builder()
                        .maxEntries(most)
                        .maxBytes(bytes)
                        .maxIndexBytes(most * 600L)
                        .segmentBytes(remember.segmentBytes())
                        .maxSegmentAge(remember.rollAfter())
                        .compactionBytesPerSecond(remember.copyRate())
                        .compactionMinRemainingLife(longest.multipliedBy(4))
                        .maxRecordLife(longest)
                        .build();
        long began = System.nanoTime();
        store = Store.open(disk, limits, BootClock.ofKernel(), schedule::post);
        double took = (System.nanoTime() - began) / 1e9;
        memory =
                new DurabilityPolicy(
                        new DurabilityTimeouts(
                                remember.markWait(),
                                remember.answerWait(),
                                remember.stall(),
                                remember.probe(),
                                remember.mostProbe()),
                        chance);
        store.recoveredEntries()
                .forEach(
                        kept -> {
                            IdempotencyRecord.decode(kept.key(), kept.metadata())
                                    .ifPresent(mark -> restored.put(mark.token(), mark));
                        });
        long marked =
                restored.values().stream()
                        .filter(mark -> mark.progress() == InvocationProgress.IN_FLIGHT)
                        .count();
        inDoubt = marked;
        whole = store.incompleteFor().isZero();
        if (copies != null) {
            left.putAll(restored);
        }
        schedule.after(longest, left::clear);
        LOG.info(
                () ->
                        "remembers "
                                + restored.size()
                                + " keyed invocations, the ends of "
                                + marked
                                + " unknown, read in "
                                + Math.round(took * 1000)
                                + " ms");
        store.damageReports().forEach(line -> LOG.severe("damage in the store: " + line));
        if (!store.incompleteFor().isZero()) {
            Duration blind = store.incompleteFor();
            memory.suspendNewKeysUntil(schedule.now().plus(blind));
            LOG.severe(
                    "what is damaged may hide a mark: new keyed invocations are throttled for "
                            + blind.toMillis()
                            + " ms");
        }
        throttled =
                metrics.counter(
                        "ochretiller_remember_unmarked_total",
                        "Keyed invocations that were not begun since their mark was not durable in"
                                + " time");
        early =
                metrics.counter(
                        "ochretiller_remember_answered_early_total",
                        "Results that were answered before they were durable; their marks stand");
        stalls =
                metrics.counter(
                        "ochretiller_remember_stalls_total",
                        "Times that the disk came to count as stalled or sick");
        givenUp =
                metrics.counter(
                        "ochretiller_remember_writes_lost_total",
                        "Ends that a sick disk did not take and that found no room to wait for it;"
                                + " their marks stand");
        fromDisk =
                metrics.counter(
                        "ochretiller_remember_read_back_total",
                        "Replays whose result came from the disk");
        metrics.gauge(
                "ochretiller_remember_in_doubt",
                "Marks of a former process whose end is unknown",
                () -> inDoubt);
        metrics.gauge(
                "ochretiller_remember_oldest_append_seconds",
                "Age of the append that waits longest",
                () -> oldest);
        metrics.gauge(
                "ochretiller_remember_recovery_seconds",
                "Time that the start took to read the store",
                () -> took);
        metrics.gauge(
                "ochretiller_store_entries", "Keys that are kept", () -> store.stats().entries());
        metrics.gauge(
                "ochretiller_store_bytes",
                "Bytes of the store's segments",
                () -> store.stats().bytes());
        metrics.gauge(
                "ochretiller_store_index_bytes",
                "Memory of the store's index, as reckoned",
                () -> store.stats().indexBytes());
        metrics.gauge(
                "ochretiller_store_segments", "Files of records", () -> store.stats().segments());
        metrics.gauge(
                "ochretiller_store_oldest_seconds",
                "Age of the oldest file of records",
                () ->
                        store.stats().segments() == 0
                                ? 0
                                : (store.nowMillis() - store.stats().oldestSegmentMillis()) / 1e3);
        metrics.gauge(
                "ochretiller_store_largest_group",
                "Most records that went out with one force",
                () -> store.stats().largestGroupCommit());
        metrics.gauge(
                "ochretiller_store_well",
                "1 while the disk is well",
                () -> store.stats().isHealthy() ? 1 : 0);
        metrics.counted(
                "ochretiller_store_forces_total",
                "Forces of the disk",
                () -> store.stats().forces());
        metrics.counted(
                "ochretiller_store_records_total",
                "Records appended",
                () -> store.stats().appendedRecords());
        metrics.counted(
                "ochretiller_store_appended_bytes_total",
                "Bytes appended",
                () -> store.stats().appendedBytes());
        metrics.counted(
                "ochretiller_store_copied_bytes_total",
                "Bytes copied by compaction",
                () -> store.stats().compactedBytes());
        metrics.counted(
                "ochretiller_store_dropped_segments_total",
                "Files that were past their time",
                () -> store.stats().expiredSegments());
        metrics.counted(
                "ochretiller_store_failures_total",
                "Failures of the disk",
                () -> store.stats().diskFailures());
    }

    /** The store, where others keep things in spaces of their own. */
    Store store() {
        return store;
    }

    void start() {
        store.start();
        beat();
    }

    private void beat() {
        schedule.after(BEAT, this::beat);
        Duration now = schedule.now();
        boolean wasSick = memory.diskHealth(now) == DiskHealth.UNAVAILABLE;
        memory.storeStatusChanged(store.stats().isHealthy(), store.hasRoomForNewKey(), now);
        oldest = memory.oldestAppendAge(now).toNanos() / 1e9;
        DiskHealth disk = memory.diskHealth(now);
        if (disk != said) {
            if (said == DiskHealth.HEALTHY) {
                stalls.add();
            }
            LOG.warning(
                    "the store's disk is "
                            + disk.externalName()
                            + (disk == DiskHealth.UNAVAILABLE
                                    ? ": " + store.stats().fault().orElse("")
                                    : "")
                            + (disk == DiskHealth.HEALTHY
                                    ? " again"
                                    : "; new keyed work is throttled"));
            said = disk;
        }
        if (wasSick && disk != DiskHealth.UNAVAILABLE) {
            caughtUp();
        }
        if (memory.startProbeIfDue(now)) {
            store.probe(
                    well -> {
                        if (!well) {
                            memory.probeFailed(schedule.now());
                        }
                    });
        }
    }

    /** The disk is well again: what it has not taken is written now. */
    private void caughtUp() {
        List<Runnable> all = new ArrayList<>(later.values());
        later.clear();
        all.forEach(Runnable::run);
    }

    private void later(String token, Runnable write) {
        if (later.size() < MOST_LATER || later.containsKey(token)) {
            later.put(token, write);
        } else {
            givenUp.add();
        }
    }

    private long life(IdempotencyRecord mark, Operation operation) {
        return mark.windowEndsAtMillis() + operation.clientTimeout().toMillis();
    }

    boolean acceptsNewMarkers() {
        return memory.acceptsNewKeys(schedule.now());
    }

    /**
     * One of the two is run, once: the mark is durable, or it is not and will not be waited for.
     */
    void writeMarker(RequestAttempt inv, Runnable durable, Runnable not) {
        Duration now = schedule.now();
        if (!inv.operation.isKeyed()) {
            durable.run();
            return;
        }
        if (!IdempotencyRecord.namesFit(inv.operation.name(), inv.rid)
                || !memory.acceptsNewKeys(now)) {
            throttled.add();
            not.run();
            return;
        }
        Duration window = inv.arrived.plus(inv.operation.deduplicationWindow()).minus(now);
        long storeNow = store.nowMillis();
        IdempotencyRecord mark =
                new IdempotencyRecord(
                        InvocationProgress.IN_FLIGHT,
                        inv.token,
                        inv.operation.name(),
                        inv.rid,
                        IdempotencyCache.bodyDigest(inv.body),
                        storeNow,
                        storeNow + Math.max(0, window.toMillis()) + 1);
        long number = ++appends;
        memory.appendStarted(number, now);
        boolean[] over = {false};
        store.putNew(
                mark.encodeKey(),
                mark.encodeMetadata(),
                NONE,
                life(mark, inv.operation),
                ack -> {
                    memory.appendCompleted(number);
                    if (over[0]) {
                        // It was throttled meanwhile and never ran: its mark must not stop a repeat
                        // after a restart.
                        if (ack == AppendResult.DURABLE || ack == AppendResult.UNKNOWN) {
                            erase(mark, inv.operation);
                        }
                        return;
                    }
                    over[0] = true;
                    if (ack == AppendResult.DURABLE) {
                        marks.put(inv.id, mark);
                        durable.run();
                        return;
                    }
                    if (ack == AppendResult.UNKNOWN) {
                        erase(mark, inv.operation);
                    }
                    throttled.add();
                    not.run();
                });
        Duration due = inv.arrived.plus(inv.operation.clientTimeout());
        schedule.after(
                memory.markerTimeout(due, now),
                () -> {
                    if (over[0]) {
                        return;
                    }
                    over[0] = true;
                    throttled.add();
                    not.run();
                });
    }

    private void erase(IdempotencyRecord mark, Operation operation) {
        store.remove(
                mark.encodeKey(),
                life(mark, operation),
                ack -> {
                    if (ack != AppendResult.DURABLE) {
                        later(mark.token(), () -> erase(mark, operation));
                    }
                });
    }

    /**
     * A run is over; {@code then} is run once its answer may leave, at once where nothing has to be
     * kept for it.
     */
    void onRunFinished(RequestAttempt inv, RunOutcome.Status end, byte[] result, Runnable then) {
        IdempotencyRecord mark = marks.remove(inv.id);
        if (mark == null) {
            then.run();
        } else {
            onRunFinished(
                    mark,
                    inv.operation,
                    end,
                    result,
                    inv.arrived.plus(inv.operation.clientTimeout()),
                    then);
        }
    }

    private void onRunFinished(
            IdempotencyRecord mark,
            Operation operation,
            RunOutcome.Status end,
            byte[] result,
            Duration due,
            Runnable then) {
        if (end == RunOutcome.Status.NEVER_STARTED || end == RunOutcome.Status.NOT_DISPATCHED) {
            erase(mark, operation);
        } else if (end != RunOutcome.Status.SUCCEEDED) {
            lost(mark, operation);
        }
        if (end != RunOutcome.Status.SUCCEEDED) {
            then.run(); // the mark stands: that it is known to have ended so can be lost
            // without harm
            return;
        }
        boolean[] over = {false};
        Runnable once =
                () -> {
                    if (over[0]) {
                        return;
                    }
                    over[0] = true;
                    then.run();
                };
        long number = ++appends;
        Duration now = schedule.now();
        memory.appendStarted(number, now);
        byte[] value = new byte[1 + result.length];
        System.arraycopy(result, 0, value, 1, result.length);
        Runnable write =
                () ->
                        store.put(
                                mark.encodeKey(),
                                mark.withProgress(InvocationProgress.SUCCEEDED).encodeMetadata(),
                                value,
                                life(mark, operation),
                                ack -> {
                                    memory.appendCompleted(number);
                                    if (ack != AppendResult.DURABLE && !over[0]) {
                                        early.add();
                                    }
                                    if (ack != AppendResult.DURABLE) {
                                        later(mark.token(), () -> keepLate(mark, operation, value));
                                    }
                                    once.run();
                                });
        write.run();
        schedule.after(
                memory.answerTimeout(due, now),
                () -> {
                    if (!over[0]) {
                        early.add();
                    }
                    once.run();
                });
    }

    private void keepLate(IdempotencyRecord mark, Operation operation, byte[] value) {
        if (life(mark, operation) <= store.nowMillis()) {
            return;
        }
        store.put(
                mark.encodeKey(),
                mark.withProgress(InvocationProgress.SUCCEEDED).encodeMetadata(),
                value,
                life(mark, operation),
                ack -> {
                    if (ack != AppendResult.DURABLE) {
                        later(mark.token(), () -> keepLate(mark, operation, value));
                    }
                });
    }

    private void lost(IdempotencyRecord mark, Operation operation) {
        if (life(mark, operation) <= store.nowMillis()) {
            return;
        }
        store.put(
                mark.encodeKey(),
                mark.withProgress(InvocationProgress.ENDED_WITHOUT_RESULT).encodeMetadata(),
                NONE,
                life(mark, operation),
                ack -> {
                    if (ack != AppendResult.DURABLE) {
                        later(mark.token(), () -> lost(mark, operation));
                    }
                });
    }

    /** The result that is kept under a token, or null. */
    void readResult(String token, Consumer<byte[]> then) {
        store.read(
                token.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                value -> {
                    if (value.isPresent() && value.get().length > 0) {
                        fromDisk.add();
                    }
                    then.accept(
                            value.filter(each -> each.length > 0)
                                    .map(each -> Arrays.copyOfRange(each, 1, each.length))
                                    .orElse(null));
                });
    }

    /**
     * What a former process has left under this token, or null; known until {@link
     * #takePreviousRuns}.
     */
    IdempotencyRecord restored(String token) {
        return token == null ? null : restored.get(token);
    }

    /**
     * All that a former process has left, by the end of its window; it is in the decisions' table
     * from here on.
     */
    List<IdempotencyRecord> takePreviousRuns() {
        List<IdempotencyRecord> all = new ArrayList<>(restored.values());
        restored.clear();
        return all;
    }

    @Override
    public void ask(String token, Consumer<Known> then) {
        IdempotencyRecord mark = left.get(token);
        if (mark == null) {
            then.accept(whole ? Known.NEVER : Known.UNKNOWN);
        } else if (mark.progress() == InvocationProgress.IN_FLIGHT) {
            then.accept(Known.UNKNOWN);
        } else {
            String body = ReplicationService.body(mark.operation(), mark.bodyDigest());
            Duration ends = schedule.now().plus(left(mark));
            if (mark.progress() == InvocationProgress.ENDED_WITHOUT_RESULT) {
                then.accept(new Known(Kind.ENDED, body, null, ends));
            } else {
                readResult(
                        token,
                        read ->
                                then.accept(
                                        read == null
                                                ? Known.UNKNOWN
                                                : new Known(Kind.ENDED, body, read, ends)));
            }
        }
    }

    /** What becomes of it, where the processor was started so long ago. */
    RecoveryDecision classifyPreviousRun(IdempotencyRecord mark, Duration processorAge) {
        RecoveryDecision found =
                RecoveryDecision.of(mark, store.nowMillis() - processorAge.toMillis());
        // Nobody will ever tell its end: the fleet need not wait for that either.
        if (found == RecoveryDecision.REJECT) {
            left.replace(mark.token(), mark.withProgress(InvocationProgress.ENDED_WITHOUT_RESULT));
        }
        return found;
    }

    /** From now until the end of its window. */
    Duration left(IdempotencyRecord mark) {
        return Duration.ofMillis(mark.windowEndsAtMillis() - store.nowMillis());
    }

    /** The end of a run that a former process has begun, heard of here. */
    void onPreviousRunFinished(
            IdempotencyRecord mark,
            Operation operation,
            RunOutcome.Status end,
            byte[] result,
            Runnable then) {
        inDoubt--;
        if (end == RunOutcome.Status.SUCCEEDED) {
            left.replace(mark.token(), mark.withProgress(InvocationProgress.SUCCEEDED));
        } else {
            left.replace(mark.token(), mark.withProgress(InvocationProgress.ENDED_WITHOUT_RESULT));
        }
        onRunFinished(
                mark, operation, end, result, schedule.now().plus(operation.clientTimeout()), then);
    }

    void close() {
        try {
            store.close();
        } catch (IOException e) {
            LOG.warning("the store cannot be closed: " + e.getMessage());
        }
    }
}
