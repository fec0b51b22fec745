package ochretiller.emulator.world;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.core.Seeds;
import ochretiller.emulator.script.Script;
import ochretiller.model.CallEnd;

/**
 * The records service: some slots, some that wait, the rest turned away; where too many wait it
 * falls over.
 */
final class Ledger {
    private final Events events;
    private final Script.Ledger plan;
    private final SplittableRandom chance;
    private final ArrayDeque<Consumer<CallEnd.Result>> waiting = new ArrayDeque<>();
    private int busy;
    private double slower = 1;
    private double downUntil;
    private long epoch;
    private long calls;
    private long falls;

    Ledger(Events events, Script.Ledger plan, SplittableRandom chance) {
        this.events = events;
        this.plan = plan;
        this.chance = chance;
    }

    void call(Consumer<CallEnd.Result> then) {
        calls++;
        if (events.seconds() < downUntil) {
            then.accept(CallEnd.Result.NOT_REACHED);
        } else if (busy < plan.slots()) {
            serve(then);
        } else if (waiting.size() >= plan.waits()) {
            then.accept(CallEnd.Result.TURNED_AWAY);
        } else {
            waiting.add(then);
        }
        if (plan.fallsAt() > 0 && waiting.size() >= plan.fallsAt()) {
            falls++;
            down(plan.downS());
        }
    }

    private void serve(Consumer<CallEnd.Result> then) {
        busy++;
        long mine = epoch;
        events.after(
                Seeds.exponential(chance, plan.workMs() / 1e3) * slower,
                () -> {
                    if (mine != epoch) {
                        return; // it fell over meanwhile
                    }
                    busy--;
                    if (!waiting.isEmpty()) {
                        serve(waiting.poll());
                    }
                    then.accept(CallEnd.Result.SUCCEEDED);
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
        ArrayDeque<Consumer<CallEnd.Result>> cut = new ArrayDeque<>(waiting);
        waiting.clear();
        cut.forEach(then -> then.accept(CallEnd.Result.RESET));
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
