package ochretiller.emulator.simulation;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.CallOutcome;

/**
 * The records service: some slots, some that wait, the rest turned away; where too many wait it
 * falls over.
 */
final class RecordsServiceModel {
    private final EventQueue events;
    private final Scenario.Ledger plan;
    private final SplittableRandom chance;
    private final ArrayDeque<Consumer<CallOutcome.Status>> waiting = new ArrayDeque<>();
    private int busy;
    private double slower = 1;
    private double downUntil;
    private long epoch;
    private long calls;
    private long falls;

    RecordsServiceModel(EventQueue events, Scenario.Ledger plan, SplittableRandom chance) {
        this.events = events;
        this.plan = plan;
        this.chance = chance;
    }

    void call(Consumer<CallOutcome.Status> then) {
        calls++;
        if (events.seconds() < downUntil) {
            then.accept(CallOutcome.Status.UNREACHABLE);
        } else if (busy < plan.slots()) {
            serve(then);
        } else if (waiting.size() >= plan.waits()) {
            then.accept(CallOutcome.Status.REJECTED);
        } else {
            waiting.add(then);
        }
        if (plan.fallsAt() > 0 && waiting.size() >= plan.fallsAt()) {
            falls++;
            down(plan.downS());
        }
    }

    private void serve(Consumer<CallOutcome.Status> then) {
        busy++;
        long mine = epoch;
        events.after(
                RandomStreams.exponential(chance, plan.workMs() / 1e3) * slower,
                () -> {
                    if (mine != epoch) {
                        return; // it fell over meanwhile
                    }
                    busy--;
                    if (!waiting.isEmpty()) {
                        serve(waiting.poll());
                    }
                    then.accept(CallOutcome.Status.SUCCEEDED);
                });
    }

    void slow(double times) {
        slower = times;
    }

    /**
     * What is at work in it breaks off; what only waited never ran, but who asked cannot know that.
     */
    void down(double seconds) {
        downUntil = Math.max(downUntil, events.seconds() + seconds);
        epoch++;
        busy = 0;
        ArrayDeque<Consumer<CallOutcome.Status>> cut = new ArrayDeque<>(waiting);
        waiting.clear();
        cut.forEach(then -> then.accept(CallOutcome.Status.RESET));
    }

    int inUse() {
        return busy + waiting.size();
    }

    long calls() {
        return calls;
    }

    long falls() {
        return falls;
    }
}
