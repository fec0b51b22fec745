package ochretiller.emulator.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ochretiller.emulator.core.EventQueue;
import ochretiller.idempotency.durable.IdempotencyRecord;

/**
 * What outlives a box where results are remembered: marks and results by token, durable once
 * forced.
 */
final class DurableStorageModel {
    private final EventQueue events;
    private final double forceS;

    /** What is durable, by token; times of marks are milliseconds since the start of all. */
    final Map<String, IdempotencyRecord> kept = new HashMap<>();

    private final List<Runnable> stalled = new ArrayList<>();
    private boolean stalls;

    /** Writes of a box that has died do not become durable. */
    private long epoch;

    DurableStorageModel(EventQueue events, double forceS) {
        this.events = events;
        this.forceS = forceS;
    }

    /** Once the write is durable. */
    void write(Runnable durable) {
        long mine = epoch;
        events.after(
                forceS,
                () -> {
                    if (mine != epoch) {
                        return;
                    }
                    if (stalls) {
                        stalled.add(durable);
                    } else {
                        durable.run();
                    }
                });
    }

    void stall(boolean now) {
        stalls = now;
        if (now) {
            return;
        }
        List<Runnable> waiting = new ArrayList<>(stalled);
        stalled.clear();
        waiting.forEach(Runnable::run);
    }

    /** The box has died: what was not forced is forgotten. */
    void died() {
        epoch++;
        stalled.clear();
    }
}
