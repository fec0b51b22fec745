package ochretiller.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The bounded queue between callers and the writer thread, and the admission check in front of it.
 * Callers, one at a time, offer; the writer thread polls and reports what it has worked off.
 */
final class AppendQueue {
    /** Most tasks: some seconds' worth where one arrives each millisecond. */
    private static final int MAX_TASKS = 16 * 1024;

    /** Most bytes of records that wait for the disk. */
    private static final long MAX_QUEUED_BYTES = 8L << 20;

    private final StoreLimits limits;
    private final BlockingQueue<WriterTask> tasks = new ArrayBlockingQueue<>(MAX_TASKS);
    private final AtomicInteger queuedNewKeys = new AtomicInteger();
    private final AtomicLong queuedBytes = new AtomicLong();
    private volatile boolean closing;

    /** What may be taken by stored and queued records together. */
    private record Bounds(long entries, long bytes, long indexBytes) {}

    AppendQueue(StoreLimits limits) {
        this.limits = limits;
    }

    /**
     * Queues an append.
     *
     * @param stats what is stored already
     * @return empty where it was queued, else why not
     */
    Optional<AppendResult> offer(AppendRequest request, StoreStats stats) {
        Optional<AppendResult> rejection = check(request, stats);
        if (rejection.isPresent()) {
            return rejection;
        }
        queuedBytes.addAndGet(request.recordBytes());
        queuedNewKeys.addAndGet(request.isNewKey() ? 1 : 0);
        if (tasks.offer(request)) {
            return Optional.empty();
        }
        workedOff(List.of(request));
        return Optional.of(AppendResult.QUEUE_FULL);
    }

    private Optional<AppendResult> check(AppendRequest request, StoreStats stats) {
        if (closing || !stats.isHealthy()) {
            return Optional.of(AppendResult.UNAVAILABLE);
        }
        if (queuedBytes.get() + request.recordBytes() > MAX_QUEUED_BYTES) {
            return Optional.of(AppendResult.QUEUE_FULL);
        }
        boolean fits =
                request.isNewKey()
                        ? hasRoomForNewKey(stats)
                        : hasRoomForKnownKey(request.recordBytes(), stats);
        return fits ? Optional.empty() : Optional.of(AppendResult.CAPACITY_EXCEEDED);
    }

    /** Queues something other than an append; false where the queue is full. */
    boolean offerCall(WriterTask.EngineCall call) {
        return tasks.offer(call);
    }

    /** Whether one more key fits without touching the reserve that is kept for known keys. */
    boolean hasRoomForNewKey(StoreStats stats) {
        Bounds withoutReserve =
                new Bounds(
                        limits.maxEntries() - limits.maxEntries() / StoreLimits.RESERVE_DIVISOR,
                        limits.maxBytes() - limits.maxBytes() / StoreLimits.RESERVE_DIVISOR,
                        limits.maxIndexBytes()
                                - limits.maxIndexBytes() / StoreLimits.RESERVE_DIVISOR);
        return fits(RecordFormat.MAX_KEY_BYTES, withoutReserve, stats);
    }

    private boolean hasRoomForKnownKey(int recordBytes, StoreStats stats) {
        // Its key is counted among the entries already, so they may be as many as the bound says.
        return fits(
                recordBytes,
                new Bounds(limits.maxEntries() + 1L, limits.maxBytes(), limits.maxIndexBytes()),
                stats);
    }

    private boolean fits(int addedBytes, Bounds bounds, StoreStats stats) {
        int newKeys = queuedNewKeys.get();
        long bytes = stats.bytes() + queuedBytes.get() + addedBytes;
        long indexBytes =
                stats.indexBytes()
                        + (newKeys + 1L)
                                * (Index.ENTRY_OVERHEAD_BYTES + RecordFormat.MAX_METADATA_BYTES);
        return stats.entries() + newKeys < bounds.entries()
                && bytes <= bounds.bytes()
                && indexBytes <= bounds.indexBytes();
    }

    /** Waits for the next task; empty where none comes in time. */
    Optional<WriterTask> poll(long timeoutMillis) throws InterruptedException {
        return Optional.ofNullable(
                closing ? tasks.poll() : tasks.poll(timeoutMillis, TimeUnit.MILLISECONDS));
    }

    /** Moves all waiting tasks into the list, oldest first. */
    void drainTo(List<WriterTask> batch) {
        tasks.drainTo(batch);
    }

    /** Tasks that wait. */
    int size() {
        return tasks.size();
    }

    /** These appends no longer wait; what became of them is in the store's figures by now. */
    void workedOff(List<AppendRequest> requests) {
        for (AppendRequest request : requests) {
            queuedBytes.addAndGet(-request.recordBytes());
            queuedNewKeys.addAndGet(request.isNewKey() ? -1 : 0);
        }
    }

    /** No further append is taken; what waits is worked off. */
    void close() {
        closing = true;
    }

    boolean isClosing() {
        return closing;
    }
}
