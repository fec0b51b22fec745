package ochretiller.server;

import java.time.Duration;
import java.util.function.Function;
import ochretiller.model.ResourceGauges;

/** Clock and timers for admission decisions. */
public interface TimerActions {
    /**
     * Returns the time since this server's start; it does not change while one event is handled.
     */
    Duration now();

    /** Calls {@code onTimer} with the current gauges once {@code delay} has passed. */
    void schedule(Duration delay, Function<ResourceGauges, Action> onTimer);
}
