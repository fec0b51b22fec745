package ochretiller.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The bounded queue between callers and the writer thread, with an admission check. One caller at a
 * time offers tasks; the writer thread polls them and releases their capacity.
 */
final class AppendQueue {
    /** Maximum number of queued tasks: several seconds' worth at one task per millisecond. */
    private static final int MAX_TASKS = 16 * 1024;

    /** Maximum total size of the records that wait for the disk. */
    private static final long MAX_QUEUED_BYTES = 8L << 20;

    private final StoreLimits limits;
    private final BlockingQueue<WriterTask> tasks = new ArrayBlockingQueue<>(MAX_TASKS);
    private final AtomicInteger queuedNewKeys = new AtomicInteger();
    private final AtomicLong queuedBytes = new AtomicLong();
    private volatile boolean closing;

    /** Limits on the totals of stored and queued records. */
    private record Bounds(long entries, long bytes, long indexBytes) {}

    AppendQueue(StoreLimits limits) {
        this.limits = limits;
    }

    /**
     * Queues an append.
     *
     * @param stats statistics of what is already stored
     * @return empty if the append was queued, otherwise why it was rejected
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
        release(List.of(request));
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
                        ? hasCapacityForNewKey(stats)
                        : hasCapacityForExistingKey(request.recordBytes(), stats);
        return fits ? Optional.empty() : Optional.of(AppendResult.CAPACITY_EXCEEDED);
    }

    /** Queues a task other than an append; returns false if the queue is full. */
    boolean offerCall(WriterTask.EngineCall call) {
        return tasks.offer(call);
    }

    /** Returns whether one more key fits without using the reserve for existing keys. */
    boolean hasCapacityForNewKey(StoreStats stats) {
        Bounds withoutReserve =
                new Bounds(
                        limits.maxEntries() - limits.maxEntries() / StoreLimits.RESERVE_DIVISOR,
                        limits.maxBytes() - limits.maxBytes() / StoreLimits.RESERVE_DIVISOR,
                        limits.maxIndexBytes()
                                - limits.maxIndexBytes() / StoreLimits.RESERVE_DIVISOR);
        return fits(RecordFormat.MAX_KEY_BYTES, withoutReserve, stats);
    }

    private boolean hasCapacityForExistingKey(int recordBytes, StoreStats stats) {
        // Its key is already counted, so the number of entries may equal the limit.
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

    /**
     * Waits for the next task; empty if none arrives within the timeout. Does not wait after {@link
     * #close}.
     */
    Optional<WriterTask> poll(long timeoutMillis) throws InterruptedException {
        return Optional.ofNullable(
                closing ? tasks.poll() : tasks.poll(timeoutMillis, TimeUnit.MILLISECONDS));
    }

    /** Moves all queued tasks to the end of the list, oldest first. */
    void drainTo(List<WriterTask> batch) {
        tasks.drainTo(batch);
    }

    /** Number of queued tasks. */
    int size() {
        return tasks.size();
    }

    /**
     * Releases the capacity of appends that are no longer queued; the store's statistics already
     * include those that were written.
     */
    void release(List<AppendRequest> requests) {
        for (AppendRequest request : requests) {
            queuedBytes.addAndGet(-request.recordBytes());
            queuedNewKeys.addAndGet(request.isNewKey() ? -1 : 0);
        }
    }

    /** Rejects further appends; queued tasks are still processed. */
    void close() {
        closing = true;
    }

    boolean isClosing() {
        return closing;
    }
}
