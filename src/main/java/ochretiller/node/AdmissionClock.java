package ochretiller.node;

import java.time.Duration;
import ochretiller.net.Scheduler;

/**
 * The clock of the admission controller: event loop time, shifted to count from the start of the
 * processor, which may be before or after the start of this process. Event loop thread only.
 */
final class AdmissionClock {
    private final Scheduler scheduler;
    private final Duration offset;

    /**
     * Creates a clock.
     *
     * @param processorAge time since the start of the processor
     */
    AdmissionClock(Scheduler scheduler, Duration processorAge) {
        this.scheduler = scheduler;
        this.offset = processorAge.minus(scheduler.now());
    }

    Duration now() {
        return toAdmissionTime(scheduler.now());
    }

    /** Converts event loop time to the time of this clock. */
    Duration toAdmissionTime(Duration loopTime) {
        return loopTime.plus(offset);
    }
}
