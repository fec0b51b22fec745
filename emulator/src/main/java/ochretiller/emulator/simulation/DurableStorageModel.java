package ochretiller.emulator.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ochretiller.emulator.core.EventQueue;
import ochretiller.idempotency.durable.IdempotencyRecord;

/**
 * Models the disk of a server whose in-flight markers and results survive a restart. A write is
 * durable after the sync time.
 */
final class DurableStorageModel {
    private final EventQueue events;
    private final double syncSeconds;

    /** Durable records by token; their times are milliseconds since the start of the simulation. */
    final Map<String, IdempotencyRecord> records = new HashMap<>();

    private final List<Runnable> stalledWrites = new ArrayList<>();
    private boolean stalled;

    /** Incremented when the server crashes: writes of an earlier epoch are lost. */
    private long epoch;

    DurableStorageModel(EventQueue events, double syncSeconds) {
        this.events = events;
        this.syncSeconds = syncSeconds;
    }

    /** Calls {@code onDurable} once a write that starts now is durable. */
    void write(Runnable onDurable) {
        long writeEpoch = epoch;
        events.schedule(
                syncSeconds,
                () -> {
                    if (writeEpoch != epoch) {
                        return;
                    }
                    if (stalled) {
                        stalledWrites.add(onDurable);
                    } else {
                        onDurable.run();
                    }
                });
    }

    void setStalled(boolean isStalled) {
        stalled = isStalled;
        if (isStalled) {
            return;
        }
        List<Runnable> writes = new ArrayList<>(stalledWrites);
        stalledWrites.clear();
        writes.forEach(Runnable::run);
    }

    /** Discards the writes that are not durable yet, because the server has crashed. */
    void discardPendingWrites() {
        epoch++;
        stalledWrites.clear();
    }
}
