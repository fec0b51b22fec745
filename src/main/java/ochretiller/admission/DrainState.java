package ochretiller.admission;

import static ochretiller.time.Durations.isAfter;

import java.time.Duration;
import ochretiller.model.Invocation;

/**
 * Whether the server is draining, and what that forbids. Stands for the rule "safe drain": nothing
 * is run that arrives after the grace period, and all that was read is answered before the process
 * is killed.
 */
final class DrainState {
    /** Later than any time that a server reaches. */
    private static final Duration NEVER = Duration.ofDays(10_000);

    private final Duration gracePeriod;
    private Duration graceEndsAt = NEVER;
    private Duration killAt = NEVER;
    private boolean isDraining;

    /**
     * Creates the state of a server that is not draining.
     *
     * @param gracePeriod time from the shutdown notice during which arrivals may still be run
     */
    DrainState(Duration gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** The process is to be killed at the given time. */
    void startDraining(Duration now, Duration killAt) {
        // A tick of margin, so that no rounding of times lets a late arrival run.
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

    /** Returns whether an invocation that has not started must not be started any more. */
    boolean forbids(Invocation invocation, Duration now) {
        boolean arrivedAfterGrace = isAfter(invocation.arrivedAt(), graceEndsAt);
        Duration lastAnswerAt = killAt.minus(AdmissionTiming.ANSWER_MARGIN);
        return arrivedAfterGrace || now.compareTo(lastAnswerAt) >= 0;
    }
}
