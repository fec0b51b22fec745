package ochretiller.emulator.simulation;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.CallOutcome;

/**
 * Models the records service: a fixed number of slots and a bounded queue; further calls are
 * rejected. The service goes down if the queue grows too long.
 */
final class RecordsServiceModel {
    private final EventQueue events;
    private final Scenario.RecordsService config;
    private final SplittableRandom random;
    private final ArrayDeque<Consumer<CallOutcome.Status>> queue = new ArrayDeque<>();
    private int busy;
    private double slowdown = 1;
    private double downUntil;
    private long epoch;
    private long callCount;
    private long overloadOutages;

    RecordsServiceModel(
            EventQueue events, Scenario.RecordsService config, SplittableRandom random) {
        this.events = events;
        this.config = config;
        this.random = random;
    }

    void call(Consumer<CallOutcome.Status> onOutcome) {
        callCount++;
        if (events.nowSeconds() < downUntil) {
            onOutcome.accept(CallOutcome.Status.UNREACHABLE);
        } else if (busy < config.slots()) {
            serve(onOutcome);
        } else if (queue.size() >= config.waits()) {
            onOutcome.accept(CallOutcome.Status.REJECTED);
        } else {
            queue.add(onOutcome);
        }
        if (config.fallsAt() > 0 && queue.size() >= config.fallsAt()) {
            overloadOutages++;
            goDown(config.downS());
        }
    }

    private void serve(Consumer<CallOutcome.Status> onOutcome) {
        busy++;
        long callEpoch = epoch;
        events.schedule(
                RandomStreams.exponential(random, config.workMs() / 1e3) * slowdown,
                () -> {
                    if (callEpoch != epoch) {
                        return; // the service has gone down since
                    }
                    busy--;
                    if (!queue.isEmpty()) {
                        serve(queue.poll());
                    }
                    onOutcome.accept(CallOutcome.Status.SUCCEEDED);
                });
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /**
     * Takes the service down. Calls in a slot get no outcome and time out at the caller. Queued
     * calls never ran, but are reset: the caller cannot know whether they ran.
     */
    void goDown(double seconds) {
        downUntil = Math.max(downUntil, events.nowSeconds() + seconds);
        epoch++;
        busy = 0;
        ArrayDeque<Consumer<CallOutcome.Status>> interrupted = new ArrayDeque<>(queue);
        queue.clear();
        interrupted.forEach(onOutcome -> onOutcome.accept(CallOutcome.Status.RESET));
    }

    int callsInProgress() {
        return busy + queue.size();
    }

    long callCount() {
        return callCount;
    }

    long overloadOutages() {
        return overloadOutages;
    }
}
