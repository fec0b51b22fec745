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
import ochretiller.fleet.peers.Copies;
import ochretiller.fleet.peers.CopySettings;
import ochretiller.fleet.peers.Former;
import ochretiller.front.Try;
import ochretiller.keys.Keys;
import ochretiller.metrics.Metrics;
import ochretiller.model.InvId;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;
import ochretiller.net.Schedule;
import ochretiller.operator.Operator;
import ochretiller.remembered.Mark;
import ochretiller.remembered.Memory;
import ochretiller.remembered.Patience;
import ochretiller.store.Ack;
import ochretiller.store.Boot;
import ochretiller.store.Disk;
import ochretiller.store.Limits;
import ochretiller.store.Store;

/**
 * Carries out what is decided about the memory of keyed invocations: marks and results go to the
 * store, answers wait for them, and what a former process has left is found again. All of it on the
 * one thread.
 */
final class Recall implements Former {
    private static final Logger LOG = Logger.getLogger(Recall.class.getName());

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

    private final Schedule schedule;
    private final Store store;
    private final Memory memory;
    private final Map<InvId, Mark> marks = new HashMap<>();
    private final Map<String, Mark> restored = new LinkedHashMap<>();
    private final Map<String, Runnable> later = new LinkedHashMap<>();

    /**
     * What former processes have left, for the fleet to ask about; no longer than any of it
     * matters.
     */
    private final Map<String, Mark> left = new HashMap<>();

    private final boolean whole;
    private final Metrics.Counter throttled;
    private final Metrics.Counter early;
    private final Metrics.Counter stalls;
    private final Metrics.Counter givenUp;
    private final Metrics.Counter fromDisk;
    private Memory.Disk said = Memory.Disk.WELL;
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
    Recall(
            Schedule schedule,
            Operator.Remember remember,
            CopySettings copies,
            Disk disk,
            Duration longest,
            SplittableRandom chance,
            Metrics metrics)
            throws IOException {
        this.schedule = schedule;
        // What is kept for the fleet has room of its own beside what is remembered here.
        int most = remember.mostEntries() + (copies == null ? 0 : 2 * copies.most());
        long bytes = remember.mostBytes() + (copies == null ? 0 : 4 * copies.mostBytes());
        Limits limits =
                new Limits(
                        most,
                        bytes,
                        most * 600L,
                        remember.segmentBytes(),
                        remember.rollAfter(),
                        remember.copyRate(),
                        0.5,
                        longest.multipliedBy(4),
                        longest);
        long began = System.nanoTime();
        store = Store.open(disk, limits, Boot.ofMachine(), schedule::post);
        double took = (System.nanoTime() - began) / 1e9;
        memory =
                new Memory(
                        new Patience(
                                remember.markWait(),
                                remember.answerWait(),
                                remember.stall(),
                                remember.probe(),
                                remember.mostProbe()),
                        chance);
        store.kept()
                .forEach(
                        kept -> {
                            Mark mark = Mark.of(kept.key(), kept.meta());
                            if (mark != null) {
                                restored.put(mark.token(), mark);
                            }
                        });
        long marked =
                restored.values().stream()
                        .filter(mark -> mark.state() == Mark.State.MARKED)
                        .count();
        inDoubt = marked;
        whole = store.damagedUntil() <= store.now();
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
        store.damage().forEach(line -> LOG.severe("damage in the store: " + line));
        if (store.damagedUntil() > store.now()) {
            Duration blind = Duration.ofMillis(store.damagedUntil() - store.now());
            memory.blind(schedule.now().plus(blind));
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
                () -> store.stats().memory());
        metrics.gauge(
                "ochretiller_store_segments", "Files of records", () -> store.stats().segments());
        metrics.gauge(
                "ochretiller_store_oldest_seconds",
                "Age of the oldest file of records",
                () ->
                        store.stats().segments() == 0
                                ? 0
                                : (store.now() - store.stats().oldest()) / 1e3);
        metrics.gauge(
                "ochretiller_store_largest_group",
                "Most records that went out with one force",
                () -> store.stats().largestGroup());
        metrics.gauge(
                "ochretiller_store_well",
                "1 while the disk is well",
                () -> store.stats().well() ? 1 : 0);
        metrics.counted(
                "ochretiller_store_forces_total",
                "Forces of the disk",
                () -> store.stats().forces());
        metrics.counted(
                "ochretiller_store_records_total",
                "Records appended",
                () -> store.stats().records());
        metrics.counted(
                "ochretiller_store_appended_bytes_total",
                "Bytes appended",
                () -> store.stats().appended());
        metrics.counted(
                "ochretiller_store_copied_bytes_total",
                "Bytes copied by compaction",
                () -> store.stats().copied());
        metrics.counted(
                "ochretiller_store_dropped_segments_total",
                "Files that were past their time",
                () -> store.stats().dropped());
        metrics.counted(
                "ochretiller_store_failures_total",
                "Failures of the disk",
                () -> store.stats().failures());
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
        boolean wasSick = memory.disk(now) == Memory.Disk.SICK;
        memory.told(store.stats().well(), store.room(), now);
        oldest = memory.oldest(now).toNanos() / 1e9;
        Memory.Disk disk = memory.disk(now);
        if (disk != said) {
            if (said == Memory.Disk.WELL) {
                stalls.add();
            }
            LOG.warning(
                    "the store's disk is "
                            + disk.externalName()
                            + (disk == Memory.Disk.SICK ? ": " + store.stats().fault() : "")
                            + (disk == Memory.Disk.WELL
                                    ? " again"
                                    : "; new keyed work is throttled"));
            said = disk;
        }
        if (wasSick && disk != Memory.Disk.SICK) {
            caughtUp();
        }
        if (memory.tries(now)) {
            store.probe(
                    well -> {
                        if (!well) {
                            memory.failedAgain(schedule.now());
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

    private long life(Mark mark, Operation operation) {
        return mark.until() + operation.clientTimeout().toMillis();
    }

    boolean keeps() {
        return memory.keeps(schedule.now());
    }

    /**
     * One of the two is run, once: the mark is durable, or it is not and will not be waited for.
     */
    void mark(Try inv, Runnable durable, Runnable not) {
        Duration now = schedule.now();
        if (!inv.operation.tokened()) {
            durable.run();
            return;
        }
        if (!Mark.fits(inv.operation.name(), inv.rid) || !memory.keeps(now)) {
            throttled.add();
            not.run();
            return;
        }
        Duration window = inv.arrived.plus(inv.operation.window()).minus(now);
        long storeNow = store.now();
        Mark mark =
                new Mark(
                        Mark.State.MARKED,
                        inv.token,
                        inv.operation.name(),
                        inv.rid,
                        Keys.hash(inv.body),
                        storeNow,
                        storeNow + Math.max(0, window.toMillis()) + 1);
        long number = ++appends;
        memory.asked(number, now);
        boolean[] over = {false};
        store.put(
                mark.key(),
                mark.meta(),
                NONE,
                life(mark, inv.operation),
                true,
                ack -> {
                    memory.acked(number);
                    if (over[0]) {
                        // It was throttled meanwhile and never ran: its mark must not stop a repeat
                        // after a restart.
                        if (ack == Ack.DURABLE || ack == Ack.UNKNOWN) {
                            erase(mark, inv.operation);
                        }
                        return;
                    }
                    over[0] = true;
                    if (ack == Ack.DURABLE) {
                        marks.put(inv.id, mark);
                        durable.run();
                        return;
                    }
                    if (ack == Ack.UNKNOWN) {
                        erase(mark, inv.operation);
                    }
                    throttled.add();
                    not.run();
                });
        Duration due = inv.arrived.plus(inv.operation.clientTimeout());
        schedule.after(
                memory.markWait(due, now),
                () -> {
                    if (over[0]) {
                        return;
                    }
                    over[0] = true;
                    throttled.add();
                    not.run();
                });
    }

    private void erase(Mark mark, Operation operation) {
        store.remove(
                mark.key(),
                life(mark, operation),
                ack -> {
                    if (ack != Ack.DURABLE) {
                        later(mark.token(), () -> erase(mark, operation));
                    }
                });
    }

    /**
     * A run is over; {@code then} is run once its answer may leave, at once where nothing has to be
     * kept for it.
     */
    void ended(Try inv, RunEnd.Result end, byte[] result, Runnable then) {
        Mark mark = marks.remove(inv.id);
        if (mark == null) {
            then.run();
        } else {
            ended(
                    mark,
                    inv.operation,
                    end,
                    result,
                    inv.arrived.plus(inv.operation.clientTimeout()),
                    then);
        }
    }

    private void ended(
            Mark mark,
            Operation operation,
            RunEnd.Result end,
            byte[] result,
            Duration due,
            Runnable then) {
        if (end == RunEnd.Result.NOTHING || end == RunEnd.Result.NOT_BEGUN) {
            erase(mark, operation);
        } else if (end != RunEnd.Result.SUCCEEDED) {
            lost(mark, operation);
        }
        if (end != RunEnd.Result.SUCCEEDED) {
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
        memory.asked(number, now);
        byte[] value = new byte[1 + result.length];
        System.arraycopy(result, 0, value, 1, result.length);
        Runnable write =
                () ->
                        store.put(
                                mark.key(),
                                mark.as(Mark.State.SUCCEEDED).meta(),
                                value,
                                life(mark, operation),
                                false,
                                ack -> {
                                    memory.acked(number);
                                    if (ack != Ack.DURABLE && !over[0]) {
                                        early.add();
                                    }
                                    if (ack != Ack.DURABLE) {
                                        later(mark.token(), () -> keepLate(mark, operation, value));
                                    }
                                    once.run();
                                });
        write.run();
        schedule.after(
                memory.answerWait(due, now),
                () -> {
                    if (!over[0]) {
                        early.add();
                    }
                    once.run();
                });
    }

    private void keepLate(Mark mark, Operation operation, byte[] value) {
        if (life(mark, operation) <= store.now()) {
            return;
        }
        store.put(
                mark.key(),
                mark.as(Mark.State.SUCCEEDED).meta(),
                value,
                life(mark, operation),
                false,
                ack -> {
                    if (ack != Ack.DURABLE) {
                        later(mark.token(), () -> keepLate(mark, operation, value));
                    }
                });
    }

    private void lost(Mark mark, Operation operation) {
        if (life(mark, operation) <= store.now()) {
            return;
        }
        store.put(
                mark.key(),
                mark.as(Mark.State.LOST).meta(),
                NONE,
                life(mark, operation),
                false,
                ack -> {
                    if (ack != Ack.DURABLE) {
                        later(mark.token(), () -> lost(mark, operation));
                    }
                });
    }

    /** The result that is kept under a token, or null. */
    void result(String token, Consumer<byte[]> then) {
        store.read(
                token.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                value -> {
                    if (value != null && value.length > 0) {
                        fromDisk.add();
                    }
                    then.accept(
                            value == null || value.length == 0
                                    ? null
                                    : Arrays.copyOfRange(value, 1, value.length));
                });
    }

    /** What a former process has left under this token, or null; known until {@link #taken}. */
    Mark restored(String token) {
        return token == null ? null : restored.get(token);
    }

    /**
     * All that a former process has left, by the end of its window; it is in the decisions' table
     * from here on.
     */
    List<Mark> taken() {
        List<Mark> all = new ArrayList<>(restored.values());
        restored.clear();
        return all;
    }

    @Override
    public void ask(String token, Consumer<Known> then) {
        Mark mark = left.get(token);
        if (mark == null) {
            then.accept(whole ? Known.NEVER : Known.UNKNOWN);
        } else if (mark.state() == Mark.State.MARKED) {
            then.accept(Known.UNKNOWN);
        } else {
            String body = Copies.body(mark.operation(), mark.body());
            Duration ends = schedule.now().plus(left(mark));
            if (mark.state() == Mark.State.LOST) {
                then.accept(new Known(Kind.ENDED, body, null, ends));
            } else {
                result(
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
    Memory.Found found(Mark mark, Duration processorAge) {
        Memory.Found found = Memory.found(mark, store.now() - processorAge.toMillis());
        // Nobody will ever tell its end: the fleet need not wait for that either.
        if (found == Memory.Found.ERROR) {
            left.replace(mark.token(), mark.as(Mark.State.LOST));
        }
        return found;
    }

    /** From now until the end of its window. */
    Duration left(Mark mark) {
        return Duration.ofMillis(mark.until() - store.now());
    }

    /** The end of a run that a former process has begun, heard of here. */
    void settled(Mark mark, Operation operation, RunEnd.Result end, byte[] result, Runnable then) {
        inDoubt--;
        if (end == RunEnd.Result.SUCCEEDED) {
            left.replace(mark.token(), mark.as(Mark.State.SUCCEEDED));
        } else {
            left.replace(mark.token(), mark.as(Mark.State.LOST));
        }
        ended(mark, operation, end, result, schedule.now().plus(operation.clientTimeout()), then);
    }

    void close() {
        try {
            store.close();
        } catch (IOException e) {
            LOG.warning("the store cannot be closed: " + e.getMessage());
        }
    }
}
