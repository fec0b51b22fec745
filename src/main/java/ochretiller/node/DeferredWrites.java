package ochretiller.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.metrics.Metrics;

/**
 * Writes that failed and are to be repeated when the disk is available again; only the last one for
 * each idempotency key. Event loop thread only.
 */
final class DeferredWrites {
    /** Bounds memory use: each write may hold a result of up to about 4 KiB. */
    private static final int MAX_WRITES = 1_000;

    private final Map<String, Runnable> writes = new LinkedHashMap<>();
    private final Metrics.Counter lostWrites;

    /**
     * Creates an empty list.
     *
     * @param lostWrites counts writes that were dropped because the list was full
     */
    DeferredWrites(Metrics.Counter lostWrites) {
        this.lostWrites = lostWrites;
    }

    /** Defers a write, replacing the previous one of its key. If the list is full, drops it. */
    void defer(String token, Runnable write) {
        if (writes.size() < MAX_WRITES || writes.containsKey(token)) {
            writes.put(token, write);
        } else {
            lostWrites.add();
        }
    }

    /** Executes all writes, in the order in which their keys were first deferred. */
    void executeAll() {
        List<Runnable> deferred = new ArrayList<>(writes.values());
        writes.clear();
        deferred.forEach(Runnable::run);
    }
}
