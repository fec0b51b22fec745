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
 * under way is answered {@link Ack#UNKNOWN}, and is never tried again here, since a failed force
 * proves nothing about what is on the medium.
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

    private final Disk disk;
    private final Limits limits;
    private final Boot boot;
    private final Executor back;
    private final Closeable lock;
    private final Index index;
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicInteger waitingEntries = new AtomicInteger();
    private final AtomicLong waitingBytes = new AtomicLong();
    private final long offset;
    private final List<Kept> kept = new ArrayList<>();
    private final List<String> damage;
    private final long damagedUntil;
    private final Thread thread;
    private ByteBuffer group = ByteBuffer.allocate(64 * 1024);
    private long sequence;
    private long lastNumber;
    private Segment active;
    private Disk.File activeFile;

    /**
     * The newest segment has no seal, and what stands behind this place of it was never written
     * whole.
     */
    private Segment unsealed;

    private long unsealedEnd;
    private Compaction compaction;
    private final Gathering gathering = new Gathering();
    private long sweptAt;
    private volatile Stats stats = new Stats(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, null);
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
            Key key,
            byte[] meta,
            byte[] value,
            long expires,
            int size,
            boolean adds,
            Consumer<Ack> then,
            Runnable work) {}

    private Store(Disk disk, Limits limits, Boot boot, Executor back, Closeable lock)
            throws IOException {
        this.disk = disk;
        this.limits = limits;
        this.boot = boot;
        this.back = back;
        this.lock = lock;
        Recovery recovery = Recovery.read(disk, true, file -> {});
        index = recovery.index;
        damage = List.copyOf(recovery.damage);
        sequence = recovery.lastSequence;
        lastNumber = recovery.lastNumber;
        offset = offset(recovery);
        damagedUntil = recovery.damagedUntil(now(), limits.damageSpan().toMillis());
        recovery.found.values().forEach(found -> segments.put(found.segment.number, found.segment));
        Recovery.Found last =
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
        long now = now();
        index.forEach(
                slot -> {
                    if (slot.live() && slot.expires > now) {
                        kept.add(new Kept(slot.key.bytes, slot.meta, slot.expires));
                    }
                });
        kept.sort(Comparator.comparingLong(Kept::expires));
        publish();
        thread = new Thread(this::serve, "store");
        thread.setDaemon(true);
    }

    /**
     * Takes the folder and reads what it holds; {@link #start} lets appends go.
     *
     * @param back runs acknowledgements, on the thread of its own choice
     */
    public static Store open(Disk disk, Limits limits, Boot boot, Executor back)
            throws IOException {
        Closeable lock = disk.lock();
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
        long uptime = boot.millis().getAsLong();
        Format.Header last = null;
        for (Recovery.Found found : recovery.found.values()) {
            if (found.header != null) {
                last = found.header;
            }
        }
        if (last == null) {
            return -uptime;
        }
        if (boot.id() != null && boot.id().equals(last.boot())) {
            return last.offset();
        }
        // No record lives longer than the limits say: the newest proves how late it was when it was
        // written.
        long[] latest = {last.begunAt()};
        index.forEach(
                slot ->
                        latest[0] =
                                Math.max(latest[0], slot.expires - limits.damageSpan().toMillis()));
        return latest[0] - uptime;
    }

    /**
     * Milliseconds on a clock that goes on over restarts, never runs ahead of the true time and
     * cannot be set.
     */
    public long now() {
        return offset + boot.millis().getAsLong();
    }

    /** What is live at the start, by the time at which it expires. */
    public List<Kept> kept() {
        return List.copyOf(kept);
    }

    /**
     * Hands over each live key that begins with this byte, with its value, before {@link #start};
     * in the order in which they lie on the disk, so that a start reads each file once.
     */
    public void each(byte first, Each with) throws IOException {
        Map<Segment, List<Index.Slot>> bySegment =
                new TreeMap<>(Comparator.comparingLong((Segment segment) -> segment.number));
        long now = now();
        index.forEach(
                slot -> {
                    boolean mine = slot.key.bytes.length > 0 && slot.key.bytes[0] == first;
                    if (mine && slot.live() && slot.expires > now) {
                        bySegment
                                .computeIfAbsent(slot.segment, ignored -> new ArrayList<>())
                                .add(slot);
                    }
                });
        for (Map.Entry<Segment, List<Index.Slot>> each : bySegment.entrySet()) {
            each.getValue().sort(Comparator.comparingInt(slot -> slot.at));
            try (Disk.File file = disk.open(each.getKey().file())) {
                for (Index.Slot slot : each.getValue()) {
                    byte[] value = value(file, slot);
                    if (value != null) {
                        with.kept(slot.key.bytes, value, slot.expires);
                    }
                }
            }
        }
    }

    /** Told of one key with its value. */
    @FunctionalInterface
    public interface Each {
        void kept(byte[] key, byte[] value, long expires);
    }

    /** What the start has found that cannot be read, a line each. */
    public List<String> damage() {
        return damage;
    }

    /**
     * Until then a record may be missing that was acknowledged; long ago where nothing is damaged.
     */
    public long damagedUntil() {
        return damagedUntil;
    }

    public Stats stats() {
        return stats;
    }

    public void start() {
        kept.clear();
        thread.start();
    }

    /**
     * Whether a new key would be taken now; the last part of each bound is left to what is there
     * already.
     */
    public boolean room() {
        return room(
                Format.LONGEST_KEY,
                limits.mostEntries() / Limits.RESERVE_PART,
                Limits.RESERVE_PART);
    }

    private boolean room(int size, int entriesLeft, int part) {
        Stats now = stats;
        long bytes = now.bytes() + waitingBytes.get() + size;
        long memory =
                now.memory()
                        + (long) (waitingEntries.get() + 1) * (Index.COST + Format.LONGEST_META);
        return now.entries() + waitingEntries.get() < limits.mostEntries() - entriesLeft
                && bytes <= limits.mostBytes() - (part == 0 ? 0 : limits.mostBytes() / part)
                && memory <= limits.mostMemory() - (part == 0 ? 0 : limits.mostMemory() / part);
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
            byte[] key, byte[] meta, byte[] value, long expires, boolean adds, Consumer<Ack> then) {
        if (key.length > Format.LONGEST_KEY
                || meta.length > Format.LONGEST_META
                || value.length > Format.LONGEST_VALUE) {
            throw new IllegalArgumentException("key, meta or value is too long");
        }
        if (expires - now() > limits.damageSpan().toMillis()) {
            throw new IllegalArgumentException("lives too long");
        }
        offer(Format.PUT, key, meta, value, expires, adds, then);
    }

    /**
     * Takes a key away. The record of it stays until then, which is the time at which what is
     * removed expires.
     */
    public void remove(byte[] key, long expires, Consumer<Ack> then) {
        offer(Format.REMOVE, key, NONE, NONE, expires, false, then);
    }

    private void offer(
            byte kind,
            byte[] key,
            byte[] meta,
            byte[] value,
            long expires,
            boolean adds,
            Consumer<Ack> then) {
        int size = Format.size(key.length, meta.length, value.length);
        Ack refused = null;
        if (closing || !stats.well()) {
            refused = Ack.SICK;
        } else if (waitingBytes.get() + size > MOST_WAITING_BYTES) {
            refused = Ack.BUSY;
        } else if (!(adds ? room() : room(size, -1, 0))) {
            refused = Ack.FULL;
        }
        if (refused == null) {
            waitingBytes.addAndGet(size);
            if (adds) {
                waitingEntries.incrementAndGet();
            }
            if (tasks.offer(
                    new Task(kind, new Key(key), meta, value, expires, size, adds, then, null))) {
                return;
            }
            waitingBytes.addAndGet(-size);
            if (adds) {
                waitingEntries.decrementAndGet();
            }
            refused = Ack.BUSY;
        }
        Ack ack = refused;
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
                    byte[] value = value(new Key(key));
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

    private byte[] value(Key key) {
        Index.Slot slot = index.get(key);
        if (slot == null || !slot.live()) {
            return null;
        }
        try (Disk.File file = disk.open(slot.segment.file())) {
            return value(file, slot);
        } catch (IOException e) {
            return null;
        }
    }

    private static byte[] value(Disk.File file, Index.Slot slot) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(slot.size);
        file.read(in, slot.at);
        in.flip();
        // Guards against a bit that went bad since it was written: what is not the record is not
        // handed out.
        if (Format.look(in) != Format.Place.WHOLE) {
            return null;
        }
        Format.Entry entry = Format.entry(in);
        if (entry.sequence() != slot.sequence) {
            return null;
        }
        byte[] value = new byte[entry.valueLength()];
        in.get(entry.valueAt(), value);
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
        int expected = gathering.expected();
        if (expected > 1 && fault == null) {
            long until = System.nanoTime() + gathering.patience();
            while (tasks.size() + 1 < expected && System.nanoTime() < until) {
                Thread.yield();
            }
        }
        gathering.came(tasks.size() + 1);
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
        Ack ack = fault != null ? Ack.SICK : append(all);
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

    private Ack append(List<Task> all) {
        int bytes = all.stream().mapToInt(Task::size).sum();
        if (group.capacity() < bytes) {
            group = ByteBuffer.allocate(Math.max(bytes, GROUP_BYTES));
        }
        group.clear();
        long first = sequence;
        for (Task task : all) {
            Format.encode(
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
            return Ack.UNKNOWN;
        }
        gathering.forced(all.size(), tasks.size(), System.nanoTime() - began);
        forces++;
        records += all.size();
        appended += bytes;
        largestGroup = Math.max(largestGroup, all.size());
        long at = active.size;
        for (Task task : all) {
            index.put(
                    new Index.Slot(
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
        return Ack.DURABLE;
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

    private static void writeSeal(Disk.File file, Segment segment, long sequence)
            throws IOException {
        ByteBuffer out = ByteBuffer.allocate(Hint.SEAL_SIZE);
        Format.encode(
                out,
                sequence,
                Format.SEAL,
                0,
                NONE,
                NONE,
                ByteBuffer.allocate(8).putLong(segment.records).array());
        file.write(out.flip(), segment.size);
        file.force();
        segment.size += Hint.SEAL_SIZE;
        segment.dead += Hint.SEAL_SIZE;
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
            try (Disk.File file = disk.open(unsealed.file())) {
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
        long now = now();
        Segment next = new Segment(lastNumber + 1, now);
        next.afterFailure = given;
        disk.delete(
                next.file()); // a try that failed may have left its half; no record was ever in it
        Disk.File file = disk.create(next.file());
        try {
            file.write(
                    new Format.Header(next.number, sequence + 1, given, boot.id(), offset, now)
                            .encode(),
                    0);
            file.force();
            disk.forceFolder();
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
            Hint.write(disk, segment, sequence);
        } catch (IOException e) {
            failures++; // a start reads the segment itself
        }
    }

    /**
     * What is done between two groups: the next segment, what is past its time, a step of
     * compaction.
     */
    private void tend() {
        long now = now();
        if (fault != null) {
            return;
        }
        try {
            boolean aged =
                    active.records > 0 && now - active.begunAt >= limits.rollAfter().toMillis();
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
        long now = now();
        List<Segment> over = new ArrayList<>();
        for (Map.Entry<Long, Segment> each : segments.entrySet()) {
            Segment segment = each.getValue();
            Map.Entry<Long, Segment> before = segments.lowerEntry(each.getKey());
            boolean needed =
                    segment.afterFailure && before != null && !over.contains(before.getValue());
            if (segment != active && segment != unsealed && segment.over(now) && !needed) {
                over.add(segment);
            }
        }
        for (Segment segment : over) {
            if (compaction != null && compaction.segment() == segment) {
                abandonCompaction();
            }
            disk.delete(segment.file());
            disk.delete(Format.hint(segment.number));
            index.forget(segment.live());
            segments.remove(segment.number);
            dropped++;
        }
        if (!over.isEmpty()) {
            disk.forceFolder(); // an old record must not come back once newer ones of its key
            // are gone
        }
    }

    private void publish() {
        long bytes = segments.values().stream().mapToLong(segment -> segment.size).sum();
        stats =
                new Stats(
                        index.entries(),
                        bytes,
                        index.memory(),
                        segments.size(),
                        segments.isEmpty() ? 0 : segments.firstEntry().getValue().begunAt,
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
                    || segment.dead <= Hint.SEAL_SIZE) {
                continue;
            }
            progress.accept(segment.file());
            Compaction all = new Compaction(segment, Long.MAX_VALUE, now());
            while (!all.step(disk, now())) {
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
