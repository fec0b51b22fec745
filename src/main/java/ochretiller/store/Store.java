package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * A durable key-value store in one directory: an append-only log in segments with an index in
 * memory, as in Bitcask (Sheehy and Smith 2010). Every record has an end of life, and segments are
 * deleted as a whole once all in them has expired. Appends are committed in groups: those that
 * arrive while the disk forces go out together with the next force.
 *
 * <p>Life cycle: {@link #open} takes the directory and recovers it; the caller reads what it needs;
 * {@link #start} lets appends go; {@link #close} ends the log in order. Until {@code start}
 * everything is called by one thread. From then on a writer thread owns the files and the index;
 * {@link #putNew}, {@link #put}, {@link #remove}, {@link #read} and {@link #probe} may be called by
 * any one thread at a time and never wait for the disk. Outcomes are handed to the executor that
 * {@code open} was given.
 *
 * <p>After a failure of the disk nothing is written until a {@link #probe} has begun a new segment.
 * Appends that were under way end as {@link AppendResult#UNKNOWN} and are never retried here.
 */
public final class Store implements Closeable {
    /**
     * How long a close waits for what is under way, so that a stalled disk does not keep the
     * process alive.
     */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private final StoreLimits limits;
    private final Executor callbackExecutor;
    private final Closeable lock;
    private final StoreClock clock;
    private final StorageEngine engine;
    private final AppendQueue queue;
    private final Thread writerThread;
    private final List<String> damageReports;

    /** On the store's clock; empty where nothing is damaged. */
    private final OptionalLong incompleteUntilMillis;

    private List<RecoveredEntry> recoveredEntries;

    private Store(
            StorageDirectory directory,
            StoreLimits limits,
            BootClock bootClock,
            Executor callbackExecutor,
            Closeable lock)
            throws IOException {
        this.limits = limits;
        this.callbackExecutor = callbackExecutor;
        this.lock = lock;
        long maxRecordLifeMillis = limits.maxRecordLife().toMillis();
        Recovery recovery =
                Recovery.read(directory, Recovery.HintPolicy.USE_HINTS, segmentName -> {});
        clock = StoreClock.continuing(bootClock, recovery, maxRecordLifeMillis);
        damageReports = recovery.damageReports();
        incompleteUntilMillis =
                recovery.keepDamagedSegments(clock.nowMillis(), maxRecordLifeMillis);
        engine = new StorageEngine(directory, limits, clock, recovery);
        recoveredEntries = engine.liveEntries();
        queue = new AppendQueue(limits);
        writerThread = new Thread(new GroupCommitWriter(queue, engine, callbackExecutor), "store");
        writerThread.setDaemon(true);
    }

    /**
     * Takes a directory and recovers what it holds. A disk that cannot be written is no error:
     * {@link StoreStats#isHealthy} tells.
     *
     * @param callbackExecutor runs callbacks, on the thread of its choice; it must not wait for the
     *     store
     * @throws StoreException where another process has the directory, or a later release has
     *     written it
     * @throws IOException where the directory cannot be read
     */
    public static Store open(
            StorageDirectory directory,
            StoreLimits limits,
            BootClock bootClock,
            Executor callbackExecutor)
            throws IOException {
        Closeable lock = directory.acquireLock();
        try {
            return new Store(directory, limits, bootClock, callbackExecutor, lock);
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    /** Starts the writer thread; what was recovered can no longer be listed. */
    public void start() {
        recoveredEntries = List.of();
        writerThread.start();
    }

    /**
     * Milliseconds on the store's clock, which continues over restarts, never runs ahead of true
     * time and cannot be set.
     */
    public long nowMillis() {
        return clock.nowMillis();
    }

    /** Before {@link #start}: the keys with a value, soonest expiry first. */
    public List<RecoveredEntry> recoveredEntries() {
        return List.copyOf(recoveredEntries);
    }

    /**
     * Before {@link #start}: hands over each live key that begins with this byte, with its value,
     * in the order of the disk, so that each file is read once.
     *
     * @throws IOException where a segment cannot be read; some keys may have been handed over by
     *     then
     */
    public void forEachValue(byte keyPrefix, ValueVisitor visitor) throws IOException {
        engine.forEachValue(keyPrefix, visitor);
    }

    /** What recovery could not read, one line each; empty where all is whole. */
    public List<String> damageReports() {
        return damageReports;
    }

    /**
     * How long from now an acknowledged record may be missing because of damage; zero where nothing
     * is damaged, or no longer.
     */
    public Duration incompleteFor() {
        if (incompleteUntilMillis.isEmpty()) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Math.max(0, incompleteUntilMillis.getAsLong() - nowMillis()));
    }

    /** Figures of a moment ago; any thread may ask. */
    public StoreStats stats() {
        return engine.stats();
    }

    /**
     * Whether {@link #putNew} would be admitted now; an eighth of each bound is reserved for {@link
     * #put} and {@link #remove}.
     */
    public boolean hasRoomForNewKey() {
        return queue.hasRoomForNewKey(engine.stats());
    }

    /**
     * Stores a value under a key that is not there yet. It is rejected where the bounds, less the
     * reserve, leave no room.
     *
     * @param key at most 512 bytes
     * @param metadata at most 255 bytes, held in memory and available right after a start
     * @param value at most 1 MiB, on disk only
     * @param expiresAtMillis end of its life on the store's clock, at most {@link
     *     StoreLimits#maxRecordLife} from now
     * @throws IllegalArgumentException where one of them is over its bound
     */
    public void putNew(
            byte[] key,
            byte[] metadata,
            byte[] value,
            long expiresAtMillis,
            AppendCallback callback) {
        checkBounds(key, metadata, value, expiresAtMillis);
        append(
                new AppendRequest(
                        RecordFormat.PUT,
                        new StoreKey(key),
                        metadata,
                        value,
                        expiresAtMillis,
                        true,
                        callback));
    }

    /**
     * Stores a value that must have room beside what is there already, such as another value of a
     * known key: it may use the reserve. The parameters are those of {@link #putNew}.
     *
     * @throws IllegalArgumentException where one of them is over its bound
     */
    public void put(
            byte[] key,
            byte[] metadata,
            byte[] value,
            long expiresAtMillis,
            AppendCallback callback) {
        checkBounds(key, metadata, value, expiresAtMillis);
        append(
                new AppendRequest(
                        RecordFormat.PUT,
                        new StoreKey(key),
                        metadata,
                        value,
                        expiresAtMillis,
                        false,
                        callback));
    }

    /**
     * Removes a key by appending a tombstone.
     *
     * @param expiresAtMillis how long the tombstone stays: until the removed value would have
     *     expired
     */
    public void remove(byte[] key, long expiresAtMillis, AppendCallback callback) {
        append(AppendRequest.tombstone(key, expiresAtMillis, callback));
    }

    private void checkBounds(byte[] key, byte[] metadata, byte[] value, long expiresAtMillis) {
        RecordFormat.requireLengths(key, metadata, value);
        long lifeMillis = expiresAtMillis - nowMillis();
        long maxLifeMillis = limits.maxRecordLife().toMillis();
        RecordFormat.requireAtMost(maxLifeMillis, lifeMillis, "milliseconds of life");
    }

    private void append(AppendRequest request) {
        Optional<AppendResult> rejection = queue.offer(request, engine.stats());
        rejection.ifPresent(
                result -> callbackExecutor.execute(() -> request.callback().completed(result)));
    }

    /**
     * Reads the value of a key on the writer thread.
     *
     * @param callback receives the value; empty where there is none, where it cannot be read, or
     *     where the queue is full
     */
    public void read(byte[] key, Consumer<Optional<byte[]>> callback) {
        StoreKey storeKey = new StoreKey(key);
        callEngine(
                () -> {
                    Optional<byte[]> value = engine.read(storeKey);
                    callbackExecutor.execute(() -> callback.accept(value));
                },
                () -> callback.accept(Optional.empty()));
    }

    /**
     * After a failure: tries whether the disk works again, by beginning a new segment.
     *
     * @param callback receives whether the store takes appends now; false also where the queue is
     *     full
     */
    public void probe(Consumer<Boolean> callback) {
        callEngine(
                () -> {
                    boolean isHealthy = engine.probe();
                    callbackExecutor.execute(() -> callback.accept(isHealthy));
                },
                () -> callback.accept(false));
    }

    private void callEngine(Runnable onWriterThread, Runnable ifQueueIsFull) {
        if (!queue.offerCall(new WriterTask.EngineCall(onWriterThread))) {
            callbackExecutor.execute(ifQueueIsFull);
        }
    }

    /** Before {@link #start}: compacts every segment that has anything dead, whatever its share. */
    void compactAll(Consumer<String> progress) throws IOException {
        engine.compactAll(progress);
    }

    /**
     * Works off what is queued, seals the log where the disk allows it, and releases the directory.
     * Waits for a second at most; an interrupt ends the wait and is kept.
     */
    @Override
    public void close() throws IOException {
        queue.close();
        queue.offerCall(
                new WriterTask.EngineCall(
                        () -> {})); // wakes the writer; a full queue keeps it awake anyway
        try {
            if (writerThread.getState() == Thread.State.NEW) {
                engine.seal();
            } else {
                writerThread.join(CLOSE_TIMEOUT.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        lock.close();
    }
}
