package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A folder of records that outlives its process. Appends are gathered while the disk forces the
 * ones before them and go out together with the next force; each is acknowledged once it is on the
 * medium, by work handed to the owner's executor.
 *
 * <p>One thread of its own owns the files and the index. {@link #put}, {@link #remove}, {@link
 * #read} and {@link #probe} may be called from any one thread at a time and never wait. Behind a
 * failure of the disk nothing is written until {@link #probe} has begun a new segment; what was
 * under way is answered {@link AppendResult#UNKNOWN}, and is never tried again here, since a failed
 * force proves nothing about what is on the medium.
 */
public final class Store implements Closeable {
    /**
     * Appends that may wait for the disk: some seconds' worth where one in each millisecond is
     * asked for.
     */
    private static final int MOST_WAITING = 16 * 1024;

    /** Bytes that may wait for the disk. */
    private static final long MOST_WAITING_BYTES = 8L << 20;

    /** Bytes of one group; a longer one would hold up its first record for the sake of its last. */
    private static final int GROUP_BYTES = 1 << 20;

    /** How often what is past its time is looked for, milliseconds. */
    private static final long SWEEP_MS = 200;

    /**
     * How long a close waits for what is under way, milliseconds: a disk that stands still must not
     * keep a process.
     */
    private static final long CLOSE_MS = 1_000;

    private static final byte[] NONE = new byte[0];

    private final StorageDirectory disk;
    private final StoreLimits limits;
    private final BootClock boot;
    private final Executor back;
    private final Closeable lock;
    private final Index index;
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicInteger waitingEntries = new AtomicInteger();
    private final AtomicLong waitingBytes = new AtomicLong();
    private final long offset;
    private final List<RecoveredEntry> recoveredEntries = new ArrayList<>();
    private final List<String> damageReports;
    private final long incompleteUntilMillis;
    private final Thread thread;
    private ByteBuffer group = ByteBuffer.allocate(64 * 1024);
    private long sequence;
    private long lastNumber;
    private Segment active;
    private StorageDirectory.StorageFile activeFile;

    /**
     * The newest segment has no seal, and what stands behind this place of it was never written
     * whole.
     */
    private Segment unsealed;

    private long unsealedEnd;
    private Compaction compaction;
    private final GroupCommitDelay gathering = new GroupCommitDelay();
    private long sweptAt;
    private volatile StoreStats stats = new StoreStats(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, null);
    private volatile boolean closing;
    private long forces;
    private long records;
    private long appended;
    private int largestGroup;
    private long copied;
    private long dropped;
    private long failures;
    private String fault;

    /**
     * What the store's thread is asked for: an append, or something else to do between two groups.
     */
    private record Task(
            byte kind,
            StoreKey key,
            byte[] meta,
            byte[] value,
            long expires,
            int size,
            boolean adds,
            Consumer<AppendResult> then,
            Runnable work) {}

    private Store(
            StorageDirectory disk,
            StoreLimits limits,
            BootClock boot,
            Executor back,
            Closeable lock)
            throws IOException {
        this.disk = disk;
        this.limits = limits;
        this.boot = boot;
        this.back = back;
        this.lock = lock;
        Recovery recovery = Recovery.read(disk, true, file -> {});
        index = recovery.index;
        damageReports = List.copyOf(recovery.damage);
        sequence = recovery.lastSequence;
        lastNumber = recovery.lastNumber;
        offset = offset(recovery);
        incompleteUntilMillis =
                recovery.damagedUntil(nowMillis(), limits.maxRecordLife().toMillis());
        recovery.found.values().forEach(found -> segments.put(found.segment.number, found.segment));
        Recovery.RecoveredSegment last =
                recovery.found.isEmpty() ? null : recovery.found.lastEntry().getValue();
        if (last != null && !last.segment.sealed && !last.segment.damaged) {
            unsealed = last.segment;
            unsealedEnd = last.goodEnd;
        }
        try {
            for (String name : recovery.useless) {
                disk.delete(name);
            }
            drop();
            begin(false);
        } catch (IOException e) {
            failed(e); // what is kept can be read all the same; probes will find out when the disk
            // is well
        }
        long now = nowMillis();
        index.forEach(
                slot -> {
                    if (slot.isPut() && slot.expiresAtMillis > now) {
                        recoveredEntries.add(
                                new RecoveredEntry(
                                        slot.key.bytes, slot.metadata, slot.expiresAtMillis));
                    }
                });
        recoveredEntries.sort(Comparator.comparingLong(RecoveredEntry::expiresAtMillis));
        publish();
        thread = new Thread(this::serve, "store");
        thread.setDaemon(true);
    }

    /**
     * Takes the folder and reads what it holds; {@link #start} lets appends go.
     *
     * @param back runs acknowledgements, on the thread of its own choice
     */
    public static Store open(
            StorageDirectory disk, StoreLimits limits, BootClock boot, Executor back)
            throws IOException {
        Closeable lock = disk.acquireLock();
        try {
            return new Store(disk, limits, boot, back, lock);
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    /**
     * Under the same run of the machine time has gone on; else none that can be proven, so that no
     * life gets shorter.
     */
    private long offset(Recovery recovery) {
        long uptime = boot.uptimeMillis().getAsLong();
        RecordFormat.SegmentHeader last = null;
        for (Recovery.RecoveredSegment found : recovery.found.values()) {
            if (found.header != null) {
                last = found.header;
            }
        }
        if (last == null) {
            return -uptime;
        }
        if (boot.bootId() != null && boot.bootId().equals(last.bootId())) {
            return last.clockOffsetMillis();
        }
        // No record lives longer than the limits say: the newest proves how late it was when it was
        // written.
        long[] latest = {last.createdAtMillis()};
        index.forEach(
                slot ->
                        latest[0] =
                                Math.max(
                                        latest[0],
                                        slot.expiresAtMillis - limits.maxRecordLife().toMillis()));
        return latest[0] - uptime;
    }

    /**
     * Milliseconds on a clock that goes on over restarts, never runs ahead of the true time and
     * cannot be set.
     */
    public long nowMillis() {
        return offset + boot.uptimeMillis().getAsLong();
    }

    /** What is live at the start, by the time at which it expires. */
    public List<RecoveredEntry> recoveredEntries() {
        return List.copyOf(recoveredEntries);
    }

    /**
     * Hands over each live key that begins with this byte, with its value, before {@link #start};
     * in the order in which they lie on the disk, so that a start reads each file once.
     */
    public void forEachValue(byte first, ValueVisitor with) throws IOException {
        Map<Segment, List<Index.IndexEntry>> bySegment =
                new TreeMap<>(Comparator.comparingLong((Segment segment) -> segment.number));
        long now = nowMillis();
        index.forEach(
                slot -> {
                    boolean mine = slot.key.bytes.length > 0 && slot.key.bytes[0] == first;
                    if (mine && slot.isPut() && slot.expiresAtMillis > now) {
                        bySegment
                                .computeIfAbsent(slot.segment, ignored -> new ArrayList<>())
                                .add(slot);
                    }
                });
        for (Map.Entry<Segment, List<Index.IndexEntry>> each : bySegment.entrySet()) {
            each.getValue().sort(Comparator.comparingInt(slot -> slot.offset));
            try (StorageDirectory.StorageFile file = disk.open(each.getKey().fileName())) {
                for (Index.IndexEntry slot : each.getValue()) {
                    byte[] value = value(file, slot);
                    if (value != null) {
                        with.visit(slot.key.bytes, value, slot.expiresAtMillis);
                    }
                }
            }
        }
    }

    /** Told of one key with its value. */
    @FunctionalInterface
    public interface ValueVisitor {
        void visit(byte[] key, byte[] value, long expires);
    }

    /** What the start has found that cannot be read, a line each. */
    public List<String> damageReports() {
        return damageReports;
    }

    /**
     * Until then a record may be missing that was acknowledged; long ago where nothing is damaged.
     */
    public long incompleteUntilMillis() {
        return incompleteUntilMillis;
    }

    public StoreStats stats() {
        return stats;
    }

    public void start() {
        recoveredEntries.clear();
        thread.start();
    }

    /**
     * Whether a new key would be taken now; the last part of each bound is left to what is there
     * already.
     */
    public boolean hasRoomForNewKey() {
        return hasRoomForNewKey(
                RecordFormat.MAX_KEY_BYTES,
                limits.maxEntries() / StoreLimits.RESERVE_PART,
                StoreLimits.RESERVE_PART);
    }

    private boolean hasRoomForNewKey(int size, int entriesLeft, int part) {
        StoreStats now = stats;
        long bytes = now.bytes() + waitingBytes.get() + size;
        long memory =
                now.indexBytes()
                        + (long) (waitingEntries.get() + 1)
                                * (Index.ENTRY_OVERHEAD_BYTES + RecordFormat.MAX_METADATA_BYTES);
        return now.entries() + waitingEntries.get() < limits.maxEntries() - entriesLeft
                && bytes <= limits.maxBytes() - (part == 0 ? 0 : limits.maxBytes() / part)
                && memory
                        <= limits.maxIndexBytes() - (part == 0 ? 0 : limits.maxIndexBytes() / part);
    }

    /**
     * Puts a value under a key.
     *
     * @param meta bytes that stay in memory and are there at once behind a start; 255 at most
     * @param expires store's time in milliseconds from which on it need not be kept; at most the
     *     limits' longest life ahead
     * @param adds whether the key is new: such a one is refused where the bounds leave no room
     * @param then told what became of it
     */
    public void put(
            byte[] key,
            byte[] meta,
            byte[] value,
            long expires,
            boolean adds,
            Consumer<AppendResult> then) {
        if (key.length > RecordFormat.MAX_KEY_BYTES
                || meta.length > RecordFormat.MAX_METADATA_BYTES
                || value.length > RecordFormat.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("key, meta or value is too long");
        }
        if (expires - nowMillis() > limits.maxRecordLife().toMillis()) {
            throw new IllegalArgumentException("lives too long");
        }
        offer(RecordFormat.PUT, key, meta, value, expires, adds, then);
    }

    /**
     * Takes a key away. The record of it stays until then, which is the time at which what is
     * removed expires.
     */
    public void remove(byte[] key, long expires, Consumer<AppendResult> then) {
        offer(RecordFormat.TOMBSTONE, key, NONE, NONE, expires, false, then);
    }

    private void offer(
            byte kind,
            byte[] key,
            byte[] meta,
            byte[] value,
            long expires,
            boolean adds,
            Consumer<AppendResult> then) {
        int size = RecordFormat.recordBytes(key.length, meta.length, value.length);
        AppendResult refused = null;
        if (closing || !stats.isHealthy()) {
            refused = AppendResult.UNAVAILABLE;
        } else if (waitingBytes.get() + size > MOST_WAITING_BYTES) {
            refused = AppendResult.QUEUE_FULL;
        } else if (!(adds ? hasRoomForNewKey() : hasRoomForNewKey(size, -1, 0))) {
            refused = AppendResult.CAPACITY_EXCEEDED;
        }
        if (refused == null) {
            waitingBytes.addAndGet(size);
            if (adds) {
                waitingEntries.incrementAndGet();
            }
            if (tasks.offer(
                    new Task(
                            kind,
                            new StoreKey(key),
                            meta,
                            value,
                            expires,
                            size,
                            adds,
                            then,
                            null))) {
                return;
            }
            waitingBytes.addAndGet(-size);
            if (adds) {
                waitingEntries.decrementAndGet();
            }
            refused = AppendResult.QUEUE_FULL;
        }
        AppendResult ack = refused;
        back.execute(() -> then.accept(ack));
    }

    private void ask(Runnable work, Runnable refused) {
        if (!tasks.offer(new Task((byte) 0, null, null, null, 0, 0, false, null, work))) {
            back.execute(refused);
        }
    }

    /** Hands over the value of a key, or null where there is none or it cannot be read. */
    public void read(byte[] key, Consumer<byte[]> then) {
        ask(
                () -> {
                    byte[] value = value(new StoreKey(key));
                    back.execute(() -> then.accept(value));
                },
                () -> then.accept(null));
    }

    /** Behind a failure: tries whether the disk is well again, and tells. */
    public void probe(Consumer<Boolean> then) {
        ask(
                () -> {
                    boolean well = well();
                    publish();
                    back.execute(() -> then.accept(well));
                },
                () -> then.accept(false));
    }

    private boolean well() {
        if (fault == null) {
            return true;
        }
        try {
            begin(true);
            fault = null;
            return true;
        } catch (IOException e) {
            failed(e);
            return false;
        }
    }

    private byte[] value(StoreKey key) {
        Index.IndexEntry slot = index.get(key);
        if (slot == null || !slot.isPut()) {
            return null;
        }
        try (StorageDirectory.StorageFile file = disk.open(slot.segment.fileName())) {
            return value(file, slot);
        } catch (IOException e) {
            return null;
        }
    }

    private static byte[] value(StorageDirectory.StorageFile file, Index.IndexEntry slot)
            throws IOException {
        ByteBuffer in = ByteBuffer.allocate(slot.recordBytes);
        file.read(in, slot.offset);
        in.flip();
        // Guards against a bit that went bad since it was written: what is not the record is not
        // handed out.
        if (RecordFormat.inspect(in) != RecordFormat.RecordStatus.VALID) {
            return null;
        }
        RecordFormat.DecodedRecord entry = RecordFormat.decode(in);
        if (entry.sequence() != slot.sequence) {
            return null;
        }
        byte[] value = new byte[entry.valueLength()];
        in.get(entry.valueOffset(), value);
        return value;
    }

    private void serve() {
        List<Task> gathered = new ArrayList<>();
        while (true) {
            try {
                Task first =
                        closing
                                ? tasks.poll()
                                : tasks.poll(
                                        compaction != null ? 10 : SWEEP_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    gathered.add(first);
                } else if (closing) {
                    break;
                }
            } catch (InterruptedException e) {
                break; // the process ends
            }
            gather();
            tasks.drainTo(gathered);
            for (int from = 0; from < gathered.size(); from = work(gathered, from)) {
                // each group is followed by what is to be done between two
            }
            gathered.clear();
            tend();
        }
        seal();
    }

    /**
     * Gives those that were answered just now a moment to come back, so that one force serves them
     * all.
     */
    private void gather() {
        int expected = gathering.expectedAppends();
        if (expected > 1 && fault == null) {
            long until = System.nanoTime() + gathering.maxWaitNanos();
            while (tasks.size() + 1 < expected && System.nanoTime() < until) {
                Thread.yield();
            }
        }
        gathering.waitEnded(tasks.size() + 1);
    }

    /** Works off one group of appends, or what else stands there; tells where the next begins. */
    private int work(List<Task> gathered, int from) {
        Task first = gathered.get(from);
        if (first.work != null) {
            first.work.run();
            return from + 1;
        }
        int to = from;
        for (int bytes = 0;
                to < gathered.size() && gathered.get(to).work == null && bytes < GROUP_BYTES;
                to++) {
            bytes += gathered.get(to).size;
        }
        List<Task> all = List.copyOf(gathered.subList(from, to));
        AppendResult ack = fault != null ? AppendResult.UNAVAILABLE : append(all);
        publish();
        for (Task task : all) {
            waitingBytes.addAndGet(-task.size);
            if (task.adds) {
                waitingEntries.decrementAndGet();
            }
        }
        back.execute(() -> all.forEach(task -> task.then.accept(ack)));
        return to;
    }

    private AppendResult append(List<Task> all) {
        int bytes = all.stream().mapToInt(Task::size).sum();
        if (group.capacity() < bytes) {
            group = ByteBuffer.allocate(Math.max(bytes, GROUP_BYTES));
        }
        group.clear();
        long first = sequence;
        for (Task task : all) {
            RecordFormat.encode(
                    group,
                    ++sequence,
                    task.kind,
                    task.expires,
                    task.key.bytes,
                    task.meta,
                    task.value);
        }
        long began = System.nanoTime();
        try {
            activeFile.write(group.flip(), active.size);
            activeFile.force();
        } catch (IOException e) {
            failed(e);
            return AppendResult.UNKNOWN;
        }
        gathering.forceCompleted(all.size(), tasks.size(), System.nanoTime() - began);
        forces++;
        records += all.size();
        appended += bytes;
        largestGroup = Math.max(largestGroup, all.size());
        long at = active.size;
        for (Task task : all) {
            index.put(
                    new Index.IndexEntry(
                            task.key,
                            ++first,
                            task.kind,
                            task.expires,
                            task.meta,
                            task.size,
                            active,
                            (int) at));
            at += task.size;
        }
        active.records += all.size();
        active.size = at;
        return AppendResult.DURABLE;
    }

    /**
     * The disk has failed: the segment under way is given up, and nothing is written before a
     * probe.
     */
    private void failed(IOException e) {
        failures++;
        fault = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        if (active != null) {
            unsealed = active;
            unsealedEnd = -1; // it is not known what of it is on the medium
        }
        active = null;
        closeQuietly(activeFile);
        activeFile = null;
        abandonCompaction();
    }

    private static void closeQuietly(Closeable file) {
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            // nothing more is asked of it
        }
    }

    private static void writeSeal(StorageDirectory.StorageFile file, Segment segment, long sequence)
            throws IOException {
        ByteBuffer out = ByteBuffer.allocate(HintFile.SEAL_BYTES);
        RecordFormat.encode(
                out,
                sequence,
                RecordFormat.SEAL,
                0,
                NONE,
                NONE,
                ByteBuffer.allocate(8).putLong(segment.records).array());
        file.write(out.flip(), segment.size);
        file.force();
        segment.size += HintFile.SEAL_BYTES;
        segment.deadBytes += HintFile.SEAL_BYTES;
        segment.records++;
        segment.sealed = true;
    }

    /**
     * Ends what is not ended and begins the next segment. Both are on the medium before anything is
     * appended to it.
     */
    private void begin(boolean afterFailure) throws IOException {
        boolean given = afterFailure && unsealed != null && unsealedEnd < 0;
        if (unsealed != null && !given) {
            try (StorageDirectory.StorageFile file = disk.open(unsealed.fileName())) {
                // What was never written whole goes, so that it is not taken for damage once others
                // stand behind it.
                file.truncate(unsealedEnd);
                unsealed.size = unsealedEnd;
                writeSeal(file, unsealed, ++sequence);
            } catch (IOException e) {
                unsealedEnd =
                        -1; // the next try leaves it as it is: one bad file must not keep the store
                // from going on
                throw e;
            }
            hint(unsealed);
            unsealed = null;
        }
        long now = nowMillis();
        Segment next = new Segment(lastNumber + 1, now);
        next.followsAbandoned = given;
        disk.delete(next.fileName()); // a try that failed may have left its half; no record was
        // ever in it
        StorageDirectory.StorageFile file = disk.create(next.fileName());
        try {
            file.write(
                    new RecordFormat.SegmentHeader(
                                    next.number, sequence + 1, given, boot.bootId(), offset, now)
                            .encode(),
                    0);
            file.force();
            disk.forceDirectory();
        } catch (IOException e) {
            closeQuietly(file);
            throw e;
        }
        forces++;
        unsealed = null;
        lastNumber = next.number;
        segments.put(next.number, next);
        active = next;
        activeFile = file;
    }

    private void hint(Segment segment) {
        try {
            HintFile.write(disk, segment, sequence);
        } catch (IOException e) {
            failures++; // a start reads the segment itself
        }
    }

    /**
     * What is done between two groups: the next segment, what is past its time, a step of
     * compaction.
     */
    private void tend() {
        long now = nowMillis();
        if (fault != null) {
            return;
        }
        try {
            boolean aged =
                    active.records > 0
                            && now - active.createdAtMillis >= limits.maxSegmentAge().toMillis();
            if (active.size >= limits.segmentBytes() || aged) {
                roll();
            }
            if (now - sweptAt >= SWEEP_MS) {
                sweptAt = now;
                drop();
                if (compaction == null) {
                    compaction = Compaction.next(segments.values(), active, limits, now);
                }
            }
            if (compaction != null && compaction.step(disk, now)) {
                copied += compaction.finish(disk, index);
                hint(compaction.segment());
                compaction = null;
            }
        } catch (IOException e) {
            failed(e);
        }
        publish();
    }

    private void roll() throws IOException {
        Segment old = active;
        writeSeal(activeFile, old, ++sequence);
        forces++;
        activeFile.close();
        begin(false);
        hint(old);
    }

    private void abandonCompaction() {
        if (compaction != null) {
            compaction.abandon(disk);
        }
        compaction = null;
    }

    /** Whole segments go once all in them is past its time. */
    private void drop() throws IOException {
        long now = nowMillis();
        List<Segment> over = new ArrayList<>();
        for (Map.Entry<Long, Segment> each : segments.entrySet()) {
            Segment segment = each.getValue();
            Map.Entry<Long, Segment> before = segments.lowerEntry(each.getKey());
            boolean needed =
                    segment.followsAbandoned && before != null && !over.contains(before.getValue());
            if (segment != active && segment != unsealed && segment.isExpired(now) && !needed) {
                over.add(segment);
            }
        }
        for (Segment segment : over) {
            if (compaction != null && compaction.segment() == segment) {
                abandonCompaction();
            }
            disk.delete(segment.fileName());
            disk.delete(RecordFormat.hintFileName(segment.number));
            index.forget(segment.liveEntries());
            segments.remove(segment.number);
            dropped++;
        }
        if (!over.isEmpty()) {
            disk.forceDirectory(); // an old record must not come back once newer ones of its key
            // are gone
        }
    }

    private void publish() {
        long bytes = segments.values().stream().mapToLong(segment -> segment.size).sum();
        stats =
                new StoreStats(
                        index.liveKeys(),
                        bytes,
                        index.memoryBytes(),
                        segments.size(),
                        segments.isEmpty() ? 0 : segments.firstEntry().getValue().createdAtMillis,
                        forces,
                        records,
                        appended,
                        largestGroup,
                        copied,
                        dropped,
                        failures,
                        fault);
    }

    /**
     * Copies every segment that has anything dead, whatever its share; for the command line, before
     * {@link #start}.
     */
    void compactAll(Consumer<String> progress) throws IOException {
        for (Segment segment : List.copyOf(segments.values())) {
            if (segment == active
                    || !segment.sealed
                    || segment.damaged
                    || segment.deadBytes <= HintFile.SEAL_BYTES) {
                continue;
            }
            progress.accept(segment.fileName());
            Compaction all = new Compaction(segment, Long.MAX_VALUE, nowMillis());
            while (!all.step(disk, nowMillis())) {
                // each step copies what one may
            }
            copied += all.finish(disk, index);
            hint(segment);
        }
        publish();
    }

    private void seal() {
        if (fault == null && active != null) {
            try {
                writeSeal(activeFile, active, ++sequence);
                hint(active);
            } catch (IOException e) {
                failed(e);
            }
        }
        closeQuietly(activeFile);
        abandonCompaction();
        publish();
    }

    /** Ends it in order where the disk allows: what was handed over before is worked off. */
    @Override
    public void close() throws IOException {
        closing = true;
        ask(() -> {}, () -> {}); // wakes it
        try {
            if (thread.isAlive()) {
                thread.join(CLOSE_MS);
            } else if (thread.getState() == Thread.State.NEW) {
                seal();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        lock.close();
    }
}
