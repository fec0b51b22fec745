package ochretiller.idempotency.durable;

import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides how keyed invocations depend on the disk: whether a new one can be marked as in flight,
 * how long its marker and its answer wait to be durable, and when a failed disk is probed. Pure: no
 * I/O, no clock; time is handed in, on the monotonic clock.
 *
 * <p>Not safe for several threads; owned by the event loop. The owner reports each append by {@link
 * #appendStarted} and {@link #appendCompleted}, and the state of the store by {@link
 * #storeStatusChanged}.
 */
public final class DurabilityPolicy {
    /**
     * An answer leaves this long before its deadline at the latest: a tick of the event loop and
     * the way out.
     */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(120);

    private final DurabilityTimeouts timeouts;
    private final ProbeBackoff backoff;

    /** When each append under way was started, by its number; numbers grow with time. */
    private final TreeMap<Long, Duration> pendingAppends = new TreeMap<>();

    private boolean diskFailed;
    private boolean hasRoom = true;
    private Duration suspendedUntil = Duration.ZERO;

    /**
     * A policy that takes the disk for healthy until it hears otherwise.
     *
     * @param random jitter of the probes
     */
    public DurabilityPolicy(DurabilityTimeouts timeouts, SplittableRandom random) {
        this.timeouts = timeouts;
        this.backoff =
                new ProbeBackoff(
                        timeouts.initialProbeInterval(), timeouts.maxProbeInterval(), random);
    }

    /**
     * Markers that were acknowledged may be missing until then: no new keyed invocation may run.
     */
    public void suspendNewKeysUntil(Duration until) {
        suspendedUntil = until;
    }

    /** An append was handed to the store; its number is higher than all before. */
    public void appendStarted(long number, Duration now) {
        pendingAppends.put(number, now);
    }

    /** The append has ended, however it did. */
    public void appendCompleted(long number) {
        pendingAppends.remove(number);
    }

    /**
     * The store has reported its state.
     *
     * @param isHealthy whether its disk works
     * @param hasRoomForNewKeys whether it would take another key
     */
    public void storeStatusChanged(boolean isHealthy, boolean hasRoomForNewKeys, Duration now) {
        hasRoom = hasRoomForNewKeys;
        if (isHealthy) {
            diskFailed = false;
            backoff.reset();
        } else if (!diskFailed) {
            diskFailed = true;
            backoff.scheduleFirst(now);
        }
    }

    /** How the disk is doing. */
    public DiskHealth diskHealth(Duration now) {
        if (diskFailed) {
            return DiskHealth.UNAVAILABLE;
        }
        boolean isStalled = oldestAppendAge(now).compareTo(timeouts.stallThreshold()) > 0;
        return isStalled && !pendingAppends.isEmpty() ? DiskHealth.STALLED : DiskHealth.HEALTHY;
    }

    /** How long the oldest append has been under way; zero where none is. */
    public Duration oldestAppendAge(Duration now) {
        return pendingAppends.isEmpty()
                ? Duration.ZERO
                : now.minus(pendingAppends.firstEntry().getValue());
    }

    /** Whether a new keyed invocation may run: its marker is expected to become durable. */
    public boolean acceptsNewKeys(Duration now) {
        return diskHealth(now) == DiskHealth.HEALTHY
                && hasRoom
                && now.compareTo(suspendedUntil) >= 0;
    }

    /**
     * How long a run waits for its marker to be durable; zero where its answer would be late in any
     * case.
     *
     * @param deadline when its answer is due
     */
    public Duration markerTimeout(Duration deadline, Duration now) {
        return boundedByDeadline(timeouts.markerWait(), deadline, now);
    }

    /**
     * How long an answer waits for its result to be durable. It leaves in time in any case, and its
     * marker stands.
     *
     * @param deadline when the answer is due
     */
    public Duration answerTimeout(Duration deadline, Duration now) {
        return diskFailed ? Duration.ZERO : boundedByDeadline(timeouts.answerWait(), deadline, now);
    }

    private static Duration boundedByDeadline(Duration longest, Duration deadline, Duration now) {
        Duration untilLastCall = deadline.minus(ANSWER_MARGIN).minus(now);
        return max(Duration.ZERO, min(longest, untilLastCall));
    }

    /** Whether a failed disk is to be probed now; if so the probe counts as started. */
    public boolean startProbeIfDue(Duration now) {
        return diskFailed && backoff.startIfDue(now);
    }

    /** The probe has failed; each failure doubles the pause before the next one. */
    public void probeFailed(Duration now) {
        backoff.probeFailed(now);
    }
}
