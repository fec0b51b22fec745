package ochretiller.admission;

import static ochretiller.time.Durations.isAfter;

import java.time.Duration;
import ochretiller.model.Invocation;

/**
 * Whether the server is draining, and which invocations it may still start. Invocations that arrive
 * after the grace period do not run, and all that were read are answered before the process is
 * killed.
 */
final class DrainState {
    /** Later than the uptime that any server reaches. */
    private static final Duration NEVER = Duration.ofDays(10_000);

    private final Duration gracePeriod;
    private Duration graceEndsAt = NEVER;
    private Duration killAt = NEVER;
    private boolean isDraining;

    /**
     * Creates the state of a server that is not draining.
     *
     * @param gracePeriod time after the shutdown notice during which new arrivals may still run
     */
    DrainState(Duration gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** Starts to drain; the process will be killed at {@code killAt}. */
    void startDraining(Duration now, Duration killAt) {
        // One tick earlier, so that rounding of times cannot let a late arrival run.
        this.graceEndsAt = now.plus(gracePeriod).minus(AdmissionTiming.TICK_INTERVAL);
        this.killAt = killAt;
        this.isDraining = true;
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Returns when the grace period ends; far in the future while the server is not draining. */
    Duration graceEndsAt() {
        return graceEndsAt;
    }

    boolean isGraceOver(Duration now) {
        return isAfter(now, graceEndsAt);
    }

    /** Returns when the process is killed; far in the future while the server is not draining. */
    Duration killAt() {
        return killAt;
    }

    /** Returns whether an invocation that has not started must no longer be started. */
    boolean forbids(Invocation invocation, Duration now) {
        boolean arrivedAfterGrace = isAfter(invocation.arrivedAt(), graceEndsAt);
        Duration lastAnswerAt = killAt.minus(AdmissionTiming.ANSWER_MARGIN);
        return arrivedAfterGrace || now.compareTo(lastAnswerAt) >= 0;
    }
}
