package ochretiller.pools;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import ochretiller.time.SlidingWindow;

/** The health of one worker as a pool observes it: state, latency and recent failures. */
final class WorkerHealth {
    /** Whether a worker gets requests. */
    enum State {
        /** The worker gets requests. */
        ACTIVE,
        /** The worker is ejected and gets no requests until its ejection ends. */
        EJECTED,
        /** The worker gets a few requests as probes. */
        PROBING,
        /** The worker was removed and finishes its requests in flight. */
        DRAINING
    }

    /**
     * Length of a bucket of the sliding windows. The whole window of two seconds is long enough for
     * a failure ratio and short enough to drop a brief disturbance.
     */
    static final Duration BUCKET_LENGTH = Duration.ofMillis(250);

    /** Number of buckets of the sliding windows. */
    static final int BUCKET_COUNT = 8;

    /** Half-life of the mean latency while a worker gets no requests. */
    private static final Duration LATENCY_HALF_LIFE = Duration.ofSeconds(2);

    /** Minimum requests in the window for the failure ratio to count. */
    private static final int MIN_RATIO_SAMPLES = 10;

    /** Fraction of the limit at which slow start begins, so that a new worker gets requests. */
    private static final double MIN_SLOW_START_FRACTION = 0.1;

    /** Lower bound of the latency; assumed without samples, so that the worker gets requests. */
    private static final double MIN_LATENCY_SECONDS = 0.001;

    final WorkerId id;
    State state = State.ACTIVE;
    int inFlight;

    /** Whether the fleet's membership shows the worker as unreachable; it is then a last resort. */
    boolean isUnreachable;

    private Duration activeSince;
    private Duration ejectedUntil = Duration.ZERO;
    private Duration ejectionDuration;
    private double lastMeanSeconds = MIN_LATENCY_SECONDS;
    private Duration lastSampleAt = Duration.ZERO;
    private int consecutiveFailures;
    private int successfulProbes;
    private final SlidingWindow latencies = new SlidingWindow(BUCKET_LENGTH, BUCKET_COUNT);
    private final SlidingWindow failures = new SlidingWindow(BUCKET_LENGTH, BUCKET_COUNT);

    WorkerHealth(WorkerId id, Duration now, Duration ejectionDuration) {
        this.id = id;
        this.activeSince = now;
        this.ejectionDuration = ejectionDuration;
    }

    /** Returns whether the worker may get one more request. */
    boolean hasFreeSlot(PoolSettings settings, Duration now) {
        return inFlight < inFlightLimit(settings, now);
    }

    /** Returns the limit of requests in flight; starts probing if the ejection has ended. */
    int inFlightLimit(PoolSettings settings, Duration now) {
        if (state == State.EJECTED && now.compareTo(ejectedUntil) >= 0) {
            state = State.PROBING;
            successfulProbes = 0;
        }
        return switch (state) {
            case ACTIVE ->
                    Math.max(1, (int) (settings.maxInFlight() * slowStartFraction(settings, now)));
            case PROBING -> settings.probes();
            case EJECTED, DRAINING -> 0;
        };
    }

    /** Returns the fraction of the full limit that slow start allows, 0 to 1. */
    private double slowStartFraction(PoolSettings settings, Duration now) {
        if (settings.slowStart().isZero()) {
            return 1;
        }
        double fraction = inSeconds(now.minus(activeSince)) / inSeconds(settings.slowStart());
        return Math.min(1, Math.max(MIN_SLOW_START_FRACTION, fraction));
    }

    /** Returns the expected seconds until one more request is answered; lower is better. */
    double expectedDelaySeconds(PoolSettings settings, Duration now) {
        return (inFlight + 1)
                * Math.max(MIN_LATENCY_SECONDS, latencies.mean(now, decayedMeanSeconds(now)))
                / slowStartFraction(settings, now);
    }

    /**
     * Returns the last mean latency, which decays while there are no samples, so that a slow worker
     * is tried again with a few requests and not with a burst.
     */
    private double decayedMeanSeconds(Duration now) {
        return lastMeanSeconds
                * Math.pow(0.5, inSeconds(now.minus(lastSampleAt)) / inSeconds(LATENCY_HALF_LIFE));
    }

    /** Records the end of a request, which may change the state. */
    void onRequestEnded(
            RequestOutcome outcome, Duration elapsed, PoolSettings settings, Duration now) {
        inFlight--;
        if (outcome == RequestOutcome.CANCELLED) {
            return; // no evidence about the worker; a cancelled probe only frees its slot
        }
        // Of the failures, only timeouts are latency samples: quick ones would make it look fast.
        if (outcome.isSuccess() || outcome == RequestOutcome.TIMED_OUT) {
            latencies.add(now, inSeconds(elapsed), 1);
            lastMeanSeconds = latencies.mean(now, MIN_LATENCY_SECONDS);
            lastSampleAt = now;
        }
        failures.add(now, outcome.isSuccess() ? 0 : 1, 1);
        consecutiveFailures = outcome.isSuccess() ? 0 : consecutiveFailures + 1;
        if (state == State.PROBING) {
            onProbeEnded(outcome, settings, now);
        } else if (state == State.ACTIVE && isFailing(settings, now)) {
            eject(now);
        }
    }

    private boolean isFailing(PoolSettings settings, Duration now) {
        return consecutiveFailures >= settings.consecutiveFailureLimit()
                || failures.weight(now) >= MIN_RATIO_SAMPLES
                        && failures.mean(now, 0) >= settings.failureRatioLimit();
    }

    private void onProbeEnded(RequestOutcome outcome, PoolSettings settings, Duration now) {
        if (!outcome.isSuccess()) {
            ejectionDuration = min(ejectionDuration.multipliedBy(2), settings.maxEjection());
            eject(now);
        } else if (++successfulProbes >= settings.probes()) {
            state = State.ACTIVE;
            activeSince = now;
            consecutiveFailures = 0;
            failures.clear();
            // Halved, not reset: a worker that is soon ejected again stays ejected for longer.
            ejectionDuration = max(settings.initialEjection(), ejectionDuration.dividedBy(2));
        }
    }

    private void eject(Duration now) {
        state = State.EJECTED;
        ejectedUntil = now.plus(ejectionDuration);
    }
}
