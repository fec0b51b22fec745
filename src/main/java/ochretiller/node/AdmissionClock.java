package ochretiller.node;

import java.time.Duration;
import ochretiller.net.Scheduler;

/**
 * The clock of admission decisions. It counts from the start of the processor, which may be older
 * or younger than this process, and otherwise advances with the event loop. Event loop thread only.
 */
final class AdmissionClock {
    private final Scheduler scheduler;
    private final Duration offset;

    /**
     * Creates a clock.
     *
     * @param processorAge how long ago the processor was started
     */
    AdmissionClock(Scheduler scheduler, Duration processorAge) {
        this.scheduler = scheduler;
        this.offset = processorAge.minus(scheduler.now());
    }

    Duration now() {
        return toAdmissionTime(scheduler.now());
    }

    /** Converts a time of the event loop into a time of this clock. */
    Duration toAdmissionTime(Duration loopTime) {
        return loopTime.plus(offset);
    }
}
