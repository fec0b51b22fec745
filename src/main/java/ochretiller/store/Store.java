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
 * A durable key-value store in one directory: an append-only log of segments with an in-memory
 * index, as in Bitcask (Sheehy and Smith 2010). Every record has an expiry time, and a segment is
 * deleted when all its records have expired. Appends are committed in groups: those that arrive
 * during a force share the next one.
 *
 * <p>Life cycle: {@link #open} locks the directory and recovers its contents; the caller reads what
 * it needs; {@link #start} enables appends; {@link #close} seals the log. Before {@code start} all
 * methods are called by one thread. Afterwards a writer thread owns the files and the index; {@link
 * #putNew}, {@link #put}, {@link #remove}, {@link #read} and {@link #probe} may be called by one
 * thread at a time and never wait for the disk. Callbacks run on the executor that was passed to
 * {@code open}.
 *
 * <p>After a disk failure nothing is written until a {@link #probe} has started a new segment.
 * Appends whose write or force failed end as {@link AppendResult#UNKNOWN}; the store never retries
 * them.
 */
public final class Store implements Closeable {
    /**
     * How long {@link #close} waits for the writer thread, so that a stalled disk does not keep the
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

    /** Until when damage may hide acknowledged records, on the store's clock; empty if none. */
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
        long maxRecordLifetimeMillis = limits.maxRecordLifetime().toMillis();
        Recovery recovery =
                Recovery.read(directory, Recovery.HintPolicy.USE_HINTS, segmentName -> {});
        clock = StoreClock.resume(bootClock, recovery, maxRecordLifetimeMillis);
        damageReports = recovery.damageReports();
        incompleteUntilMillis =
                recovery.retainDamagedSegments(clock.nowMillis(), maxRecordLifetimeMillis);
        engine = new StorageEngine(directory, limits, clock, recovery);
        recoveredEntries = engine.liveEntries();
        queue = new AppendQueue(limits);
        writerThread = new Thread(new GroupCommitWriter(queue, engine, callbackExecutor), "store");
        writerThread.setDaemon(true);
    }

    /**
     * Locks a directory and recovers its contents. A disk that cannot be written is no error;
     * {@link StoreStats#isHealthy} reports it.
     *
     * @param callbackExecutor runs callbacks, on threads of its choice; it must not wait for the
     *     store
     * @throws StoreException if another process uses the directory, or a later release has written
     *     it
     * @throws IOException if the directory cannot be read
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

    /** Starts the writer thread; {@link #recoveredEntries} is empty from then on. */
    public void start() {
        recoveredEntries = List.of();
        writerThread.start();
    }

    /**
     * Returns the store's clock in milliseconds. It continues across restarts, never runs ahead of
     * real time and cannot be set.
     */
    public long nowMillis() {
        return clock.nowMillis();
    }

    /**
     * Returns the recovered keys that have a value, earliest expiry first; empty after {@link
     * #start}.
     */
    public List<RecoveredEntry> recoveredEntries() {
        return List.copyOf(recoveredEntries);
    }

    /**
     * Visits each live key that begins with this byte, with its value, in disk order so that each
     * file is read once. Must be called before {@link #start}.
     *
     * @throws IOException if a segment cannot be read; some keys may have been visited by then
     */
    public void forEachValue(byte keyPrefix, ValueVisitor visitor) throws IOException {
        engine.forEachValue(keyPrefix, visitor);
    }

    /** Returns what recovery could not read, one line each; empty without damage. */
    public List<String> damageReports() {
        return damageReports;
    }

    /**
     * Returns for how long from now an acknowledged record may be missing because of damage; zero
     * without damage or after that time.
     */
    public Duration timeUntilComplete() {
        if (incompleteUntilMillis.isEmpty()) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Math.max(0, incompleteUntilMillis.getAsLong() - nowMillis()));
    }

    /** Returns the statistics after the last completed operation; safe to call from any thread. */
    public StoreStats stats() {
        return engine.stats();
    }

    /**
     * Returns whether {@link #putNew} would be accepted now; an eighth of each limit is reserved
     * for {@link #put} and {@link #remove}.
     */
    public boolean hasCapacityForNewKey() {
        return queue.hasCapacityForNewKey(engine.stats());
    }

    /**
     * Stores a value under a new key. It is rejected if it exceeds the limits less the reserve.
     *
     * @param key at most 512 bytes
     * @param metadata at most 255 bytes, kept in memory and available right after a start
     * @param value at most 1 MiB, on disk only
     * @param expiresAtMillis expiry time on the store's clock, at most {@link
     *     StoreLimits#maxRecordLifetime} from now
     * @throws IllegalArgumentException if one of them exceeds its limit
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
     * Stores a value that may use the reserve, such as another value of an existing key. The
     * parameters are those of {@link #putNew}.
     *
     * @throws IllegalArgumentException if one of them exceeds its limit
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
     * @param expiresAtMillis expiry time of the tombstone on the store's clock: when the removed
     *     value would have expired
     */
    public void remove(byte[] key, long expiresAtMillis, AppendCallback callback) {
        append(AppendRequest.tombstone(key, expiresAtMillis, callback));
    }

    private void checkBounds(byte[] key, byte[] metadata, byte[] value, long expiresAtMillis) {
        RecordFormat.requireLengths(key, metadata, value);
        long lifetimeMillis = expiresAtMillis - nowMillis();
        long maxLifetimeMillis = limits.maxRecordLifetime().toMillis();
        RecordFormat.requireAtMost(maxLifetimeMillis, lifetimeMillis, "milliseconds of lifetime");
    }

    private void append(AppendRequest request) {
        Optional<AppendResult> rejection = queue.offer(request, engine.stats());
        rejection.ifPresent(
                result -> callbackExecutor.execute(() -> request.callback().onCompleted(result)));
    }

    /**
     * Reads the value of a key on the writer thread.
     *
     * @param callback receives the value; empty if there is none, it cannot be read, or the queue
     *     is full
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
     * Checks after a failure whether the disk works again, by starting a new segment.
     *
     * @param callback receives whether the store accepts appends now; false also if the queue is
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

    private void callEngine(Runnable action, Runnable onQueueFull) {
        if (!queue.offerCall(new WriterTask.EngineCall(action))) {
            callbackExecutor.execute(onQueueFull);
        }
    }

    /**
     * Compacts every sealed segment that contains dead records, whatever their share. Must be
     * called before {@link #start}.
     */
    void compactAll(Consumer<String> progress) throws IOException {
        engine.compactAll(progress);
    }

    /**
     * Completes the queued tasks, seals the log if the disk works, and unlocks the directory. Waits
     * for at most one second; an interrupt ends the wait and restores the interrupt status.
     */
    @Override
    public void close() throws IOException {
        queue.close();
        // An empty task wakes the writer thread, which is awake anyway if the queue is full.
        queue.offerCall(new WriterTask.EngineCall(() -> {}));
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
