package ochretiller.node;

import java.time.Duration;
import ochretiller.net.Scheduler;

/** Wall clock in Unix time, with conversion to event loop time. Any thread. */
final class WallClock {
    private final Scheduler scheduler;
    private final long errorMillis;

    /**
     * Creates a clock.
     *
     * @param error deliberate clock error in drills; zero otherwise
     */
    WallClock(Scheduler scheduler, Duration error) {
        this.scheduler = scheduler;
        this.errorMillis = error.toMillis();
    }

    /** Returns the milliseconds since the Unix epoch, including the configured error. */
    long unixMillis() {
        return System.currentTimeMillis() + errorMillis;
    }

    /**
     * Converts a Unix time to event loop time. A future time, which occurs when a clock was set
     * back, is converted to the current time.
     */
    Duration toLoopTime(long unixMillis) {
        return scheduler.now().minusMillis(Math.max(0, unixMillis() - unixMillis));
    }
}
