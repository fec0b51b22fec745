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
 * Bounds the calls that this server has in flight at the downstream service, and queues those that
 * wait. Stands for the rule "nothing falls over": the service dies if all servers together hold
 * more calls than it survives, averaged over a period, and each server knows its own part only.
 *
 * <p>A token bucket of call-seconds (one call in flight for one second takes one) fills at a part
 * of the server's share and is charged while calls are in flight. It saves up half a second's
 * worth, since under overload all servers spend at once what they saved.
 */
final class DownstreamCallLimiter {
    /** Part of the server's share that its calls may take on average. */
    private static final double USED_PART_OF_SHARE = 0.45;

    /** Where several calls are in flight, the least timeout in mean call durations. */
    private static final double MIN_TIMEOUT_IN_MEANS = 4;

    /** Runs that wait for a call, for each core: more would only fill the memory. */
    private static final int BLOCKED_RUNS_PER_CORE = 2;

    private final double callSecondsPerSecond;
    private final double capacity;
    private final double averagingSeconds;
    private final Duration serviceTimeAfterTimeout;
    private final int maxBlocked;
    private final ArrayDeque<TrackedInvocation> blocked = new ArrayDeque<>();
    private final SlidingWindow durations = MeasurementWindows.longWindow();
    private double level;
    private double startTimes;
    private int inFlight;
    private Duration filledAt = Duration.ZERO;

    /**
     * Creates a limiter whose bucket is full.
     *
     * @param callShare calls in flight that are this server's share of what the service survives
     * @param cores cores of this server
     * @param serviceTimeAfterTimeout how long the service goes on with a call that timed out here
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
        this.maxBlocked = BLOCKED_RUNS_PER_CORE * cores;
    }

    /** Call-seconds that are left, with those of the calls in flight charged until now. */
    private double available(Duration now) {
        level = Math.min(capacity, level + callSecondsPerSecond * inSeconds(now.minus(filledAt)));
        filledAt = now;
        return level - (inFlight * inSeconds(now) - startTimes);
    }

    /** Returns whether a run that will make a call may start: those that wait already go first. */
    boolean hasRoomForCaller(Duration now) {
        double neededByBlocked = blocked.size() * meanSeconds(now);
        return blocked.size() < (available(now) > neededByBlocked ? maxBlocked : 1);
    }

    /** A run waits until its call may be made. */
    void enqueue(TrackedInvocation caller) {
        blocked.add(caller);
    }

    /** Removes a run, and returns whether it waited. */
    boolean remove(TrackedInvocation caller) {
        return blocked.remove(caller);
    }

    /** Returns the call to make now, if any, which then counts as in flight. */
    Optional<PermittedCall> startNext(Duration now) {
        if (blocked.isEmpty() || inFlight >= 2 * maxBlocked || available(now) <= 0) {
            return Optional.empty();
        }
        // Even if all calls take this long, the average over the period stays within the share.
        double timeoutSeconds = callSecondsPerSecond * averagingSeconds / 2 / (1 + inFlight);
        // Calls that have become slow are made one by one.
        if (inFlight > 0 && timeoutSeconds < MIN_TIMEOUT_IN_MEANS * meanSeconds(now)) {
            return Optional.empty();
        }
        TrackedInvocation caller = blocked.poll();
        Duration untilAnswer =
                caller.invocation().deadline().minus(AdmissionTiming.ANSWER_MARGIN).minus(now);
        Duration timeout =
                max(min(untilAnswer, ofSeconds(timeoutSeconds)), AdmissionTiming.TICK_INTERVAL);
        caller.startCall(now);
        startTimes += inSeconds(now);
        inFlight++;
        return Optional.of(new PermittedCall(caller, timeout));
    }

    /**
     * A call has ended.
     *
     * @param caller the run that made it
     * @param now the time
     * @param mayGoOn whether the service may still work on it, which is then charged for as well
     */
    void onCallEnded(TrackedInvocation caller, Duration now, boolean mayGoOn) {
        double seconds = inSeconds(now.minus(caller.callStartedAt()));
        inFlight--;
        startTimes -= inSeconds(caller.callStartedAt());
        level -= mayGoOn ? seconds + inSeconds(serviceTimeAfterTimeout) : seconds;
        durations.add(now, seconds, 1);
    }

    /** Returns the mean duration of calls of late, zero where there was none. */
    Duration meanDuration(Duration now) {
        return ofSeconds(meanSeconds(now));
    }

    private double meanSeconds(Duration now) {
        return durations.mean(now, 0);
    }

    /**
     * A call that is to be made now.
     *
     * @param caller the run that needs it
     * @param timeout when to give it up, from now
     */
    record PermittedCall(TrackedInvocation caller, Duration timeout) {}
}
