package ochretiller.idempotency.durable;

import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides how keyed invocations depend on the disk: whether a new one may run, how long its run
 * waits for a durable in-flight marker and its answer for a durable result, and when a failed disk
 * is probed. Performs no I/O and reads no clock; callers pass the time on the monotonic clock.
 *
 * <p>Not thread-safe; confined to the event loop, which reports each append by {@link
 * #appendStarted} and {@link #appendCompleted}, and the state of the store by {@link
 * #storeStatusChanged}.
 */
public final class DurabilityPolicy {
    /**
     * An answer is sent at least this long before its deadline, which allows for one tick of the
     * event loop and for sending it.
     */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(120);

    private final DurabilityTimeouts timeouts;
    private final ProbeBackoff backoff;

    /** Start time of each pending append by its number; numbers increase with time. */
    private final TreeMap<Long, Duration> pendingAppends = new TreeMap<>();

    private boolean diskFailed;
    private boolean hasCapacity = true;
    private Duration suspendedUntil = Duration.ZERO;

    /**
     * Creates a policy that assumes a healthy disk until a failure is reported.
     *
     * @param random source of the jitter of probe intervals
     */
    public DurabilityPolicy(DurabilityTimeouts timeouts, SplittableRandom random) {
        this.timeouts = timeouts;
        this.backoff =
                new ProbeBackoff(
                        timeouts.initialProbeInterval(), timeouts.maxProbeInterval(), random);
    }

    /** Rejects new keyed invocations until this time, as acknowledged markers may be missing. */
    public void suspendNewKeysUntil(Duration until) {
        suspendedUntil = until;
    }

    /** Reports that an append was passed to the store; its number must exceed all earlier ones. */
    public void appendStarted(long number, Duration now) {
        pendingAppends.put(number, now);
    }

    /** Reports that an append has ended, whatever its result. */
    public void appendCompleted(long number) {
        pendingAppends.remove(number);
    }

    /**
     * Reports the state of the store.
     *
     * @param isHealthy whether its disk works
     * @param hasCapacityForNewKeys whether the store has capacity for another key
     */
    public void storeStatusChanged(boolean isHealthy, boolean hasCapacityForNewKeys, Duration now) {
        hasCapacity = hasCapacityForNewKeys;
        if (isHealthy) {
            diskFailed = false;
            backoff.reset();
        } else if (!diskFailed) {
            diskFailed = true;
            backoff.scheduleFirst(now);
        }
    }

    /** Returns the health of the disk, including whether a pending append is overdue. */
    public DiskHealth diskHealth(Duration now) {
        if (diskFailed) {
            return DiskHealth.UNAVAILABLE;
        }
        boolean isStalled = oldestAppendAge(now).compareTo(timeouts.stallThreshold()) > 0;
        return isStalled && !pendingAppends.isEmpty() ? DiskHealth.STALLED : DiskHealth.HEALTHY;
    }

    /** Returns the age of the oldest pending append; zero if none is pending. */
    public Duration oldestAppendAge(Duration now) {
        return pendingAppends.isEmpty()
                ? Duration.ZERO
                : now.minus(pendingAppends.firstEntry().getValue());
    }

    /**
     * Returns whether a new keyed invocation may run, as its marker is expected to become durable.
     */
    public boolean acceptsNewKeys(Duration now) {
        return diskHealth(now) == DiskHealth.HEALTHY
                && hasCapacity
                && now.compareTo(suspendedUntil) >= 0;
    }

    /**
     * Returns how long a run waits for its marker to become durable; zero if its answer would be
     * late in any case.
     *
     * @param deadline time at which its answer is due
     */
    public Duration markerTimeout(Duration deadline, Duration now) {
        return boundedByDeadline(timeouts.markerWait(), deadline, now);
    }

    /**
     * Returns how long an answer waits for its result to become durable. The answer is sent in time
     * even if the result is not durable; the in-flight marker then remains.
     *
     * @param deadline time at which the answer is due
     */
    public Duration answerTimeout(Duration deadline, Duration now) {
        return diskFailed ? Duration.ZERO : boundedByDeadline(timeouts.answerWait(), deadline, now);
    }

    private static Duration boundedByDeadline(Duration maxWait, Duration deadline, Duration now) {
        Duration remaining = deadline.minus(ANSWER_MARGIN).minus(now);
        return max(Duration.ZERO, min(maxWait, remaining));
    }

    /** Returns whether a failed disk is to be probed now, and if so marks the probe as started. */
    public boolean startProbeIfDue(Duration now) {
        return diskFailed && backoff.startIfDue(now);
    }

    /**
     * Reports a failed probe; each failure doubles the delay before the next probe, up to a
     * maximum.
     */
    public void probeFailed(Duration now) {
        backoff.probeFailed(now);
    }
}
