package ochretiller.node;

import java.time.Duration;
import ochretiller.net.Scheduler;

/** Unix time, and its conversion into event loop time. Any thread. */
final class WallClock {
    private final Scheduler scheduler;
    private final long errorMillis;

    /**
     * Creates a clock.
     *
     * @param error how far the clock is set wrong on purpose, in drills; else zero
     */
    WallClock(Scheduler scheduler, Duration error) {
        this.scheduler = scheduler;
        this.errorMillis = error.toMillis();
    }

    /** Returns the milliseconds since the Unix epoch. */
    long unixMillis() {
        return System.currentTimeMillis() + errorMillis;
    }

    /**
     * Returns a Unix time as event loop time; a time in the future counts as now, in case a clock
     * was set back.
     */
    Duration toLoopTime(long unixMillis) {
        return scheduler.now().minusMillis(Math.max(0, unixMillis() - unixMillis));
    }
}
