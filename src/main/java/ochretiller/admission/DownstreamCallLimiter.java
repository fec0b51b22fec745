package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import ochretiller.time.SlidingWindow;

/**
 * Limits the calls that this server has in flight at the downstream service, and queues the runs
 * that wait for one. The service fails if all servers together have more calls in flight than it
 * survives, averaged over a period; each server knows only its own share.
 *
 * <p>A token bucket of call-seconds (one call in flight for one second consumes one) fills at a
 * fraction of the server's share and is charged while calls are in flight. Its capacity is the fill
 * of half a second, because under overload all servers spend their reserves at once.
 */
final class DownstreamCallLimiter {
    /** Fraction of the server's share that its calls may use on average. */
    private static final double USED_PART_OF_SHARE = 0.45;

    /** Shortest timeout of a call while others are in flight, in mean call durations. */
    private static final double MIN_TIMEOUT_IN_MEANS = 4;

    /** Maximum runs per core that wait for a call; more would only occupy memory. */
    private static final int MAX_BLOCKED_RUNS_PER_CORE = 2;

    private final double callSecondsPerSecond;
    private final double capacity;
    private final double averagingSeconds;
    private final Duration serviceTimeAfterTimeout;
    private final int maxBlocked;
    private final ArrayDeque<TrackedInvocation> blocked = new ArrayDeque<>();
    private final SlidingWindow durations = MeasurementWindows.longWindow();
    private double level;
    private double startTimesSum;
    private int inFlight;
    private Duration filledAt = Duration.ZERO;

    /**
     * Creates a limiter whose bucket is full.
     *
     * @param callShare this server's share, in calls in flight, of what the service survives
     * @param cores cores of this server
     * @param serviceTimeAfterTimeout how long the service continues a call that timed out here
     * @param averagingPeriod period over which the service averages its calls in flight
     */
    DownstreamCallLimiter(
            double callShare,
            int cores,
            Duration serviceTimeAfterTimeout,
            Duration averagingPeriod) {
        this.callSecondsPerSecond = callShare * USED_PART_OF_SHARE;
        this.averagingSeconds = inSeconds(averagingPeriod);
        this.capacity = callSecondsPerSecond * inSeconds(MeasurementWindows.BUCKET);
        this.level = capacity;
        this.serviceTimeAfterTimeout = serviceTimeAfterTimeout;
        this.maxBlocked = MAX_BLOCKED_RUNS_PER_CORE * cores;
    }

    /** Returns the call-seconds that are left after charging the calls in flight until now. */
    private double available(Duration now) {
        level = Math.min(capacity, level + callSecondsPerSecond * inSeconds(now.minus(filledAt)));
        filledAt = now;
        return level - (inFlight * inSeconds(now) - startTimesSum);
    }

    /** Returns whether a run that will make a call may start; waiting runs have priority. */
    boolean canAdmitCaller(Duration now) {
        double neededByBlocked = blocked.size() * meanSeconds(now);
        return blocked.size() < (available(now) > neededByBlocked ? maxBlocked : 1);
    }

    /** Queues a run until its call may be made. */
    void enqueue(TrackedInvocation caller) {
        blocked.add(caller);
    }

    /** Removes a run from the queue, and returns whether it was queued. */
    boolean remove(TrackedInvocation caller) {
        return blocked.remove(caller);
    }

    /** Returns the next call to make and counts it as in flight, or empty if none may be made. */
    Optional<PermittedCall> startNext(Duration now) {
        if (blocked.isEmpty() || inFlight >= 2 * maxBlocked || available(now) <= 0) {
            return Optional.empty();
        }
        // Even if all calls take this long, the average over the period stays within the share.
        double timeoutSeconds = callSecondsPerSecond * averagingSeconds / 2 / (1 + inFlight);
        // Slow calls are made one at a time.
        if (inFlight > 0 && timeoutSeconds < MIN_TIMEOUT_IN_MEANS * meanSeconds(now)) {
            return Optional.empty();
        }
        TrackedInvocation caller = blocked.poll();
        Duration untilAnswer =
                caller.invocation().deadline().minus(AdmissionTiming.ANSWER_MARGIN).minus(now);
        Duration timeout =
                max(min(untilAnswer, ofSeconds(timeoutSeconds)), AdmissionTiming.TICK_INTERVAL);
        caller.startCall(now);
        startTimesSum += inSeconds(now);
        inFlight++;
        return Optional.of(new PermittedCall(caller, timeout));
    }

    /**
     * Records the end of a call.
     *
     * @param caller the run that made it
     * @param now the time
     * @param mayStillExecute whether the service may still work on it, which is charged too
     */
    void onCallEnded(TrackedInvocation caller, Duration now, boolean mayStillExecute) {
        double seconds = inSeconds(now.minus(caller.callStartedAt()));
        inFlight--;
        startTimesSum -= inSeconds(caller.callStartedAt());
        level -= mayStillExecute ? seconds + inSeconds(serviceTimeAfterTimeout) : seconds;
        durations.add(now, seconds, 1);
    }

    /** Returns the mean duration of recent calls, zero without any. */
    Duration meanDuration(Duration now) {
        return ofSeconds(meanSeconds(now));
    }

    private double meanSeconds(Duration now) {
        return durations.mean(now, 0);
    }

    /**
     * A call that may be made now.
     *
     * @param caller the run that needs it
     * @param timeout time from now after which it is abandoned
     */
    record PermittedCall(TrackedInvocation caller, Duration timeout) {}
}
