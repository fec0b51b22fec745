package ochretiller.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.metrics.Metrics;

/**
 * Writes that an unavailable disk has not taken, to be made once it is available again; the last
 * one for each idempotency key. Event loop thread only.
 */
final class DeferredWrites {
    /** Each write holds a result, some 4 KiB at most. */
    private static final int MAX_WRITES = 1_000;

    private final Map<String, Runnable> writes = new LinkedHashMap<>();
    private final Metrics.Counter lostWrites;

    /**
     * Creates an empty list.
     *
     * @param lostWrites counts writes for which there was no room
     */
    DeferredWrites(Metrics.Counter lostWrites) {
        this.lostWrites = lostWrites;
    }

    /** Defers a write. Without room for it the write is lost, and counted. */
    void defer(String token, Runnable write) {
        if (writes.size() < MAX_WRITES || writes.containsKey(token)) {
            writes.put(token, write);
        } else {
            lostWrites.add();
        }
    }

    /** Makes all writes, in the order in which their keys were deferred first. */
    void makeAll() {
        List<Runnable> due = new ArrayList<>(writes.values());
        writes.clear();
        due.forEach(Runnable::run);
    }
}
