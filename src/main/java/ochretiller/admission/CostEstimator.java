package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.time.SlidingWindow;

/**
 * What an invocation is expected to cost: its prior estimate, times how the measured time of its
 * operation compared with the prior estimates over the last ten seconds. So the current speed of
 * the cores is learned.
 */
final class CostEstimator {
    /** Prior estimate without a hint, as a share of the operation's latency objective. */
    private static final double PRIOR_SHARE_OF_OBJECTIVE = 0.2;

    /** How many standard deviations of the estimate's error are left as room. */
    private static final double DEVIATIONS_RESERVED = 0.5;

    /** Cap on one squared relative error, so that a single slow run does not rule the margin. */
    private static final double MAX_SQUARED_ERROR = 9;

    /** Least cost that is divided by, seconds. */
    private static final double MIN_COST_S = 1e-6;

    private final Map<Operation, SlidingWindow> ratioByOperation = new HashMap<>();
    private final SlidingWindow ratioOfAll = MeasurementWindows.longWindow();
    private final SlidingWindow squaredErrors = MeasurementWindows.longWindow();
    private final SlidingWindow timesAtCalls = MeasurementWindows.shortWindow();

    /** Returns the expected time on the cores, seconds. */
    double expectedSeconds(Invocation invocation, Duration now) {
        // An operation that was not measured of late is expected to do as all others did: a prior
        // estimate that looks too dear would never be tried, and so never be corrected.
        return priorSeconds(invocation)
                * ratioOf(invocation.operation()).mean(now, ratioOfAll.mean(now, 1));
    }

    /** Returns {@link #expectedSeconds}, at least a microsecond, for use as a divisor. */
    double expectedSecondsAboveZero(Invocation invocation, Duration now) {
        return Math.max(MIN_COST_S, expectedSeconds(invocation, now));
    }

    /** Learns from a run that succeeded; {@code onCores} leaves out its downstream calls. */
    void onRunSucceeded(TrackedInvocation tracked, Duration onCores, Duration now) {
        Invocation invocation = tracked.invocation();
        double measured = inSeconds(onCores);
        double error = measured / expectedSecondsAboveZero(invocation, now) - 1;
        squaredErrors.add(now, Math.min(error * error, MAX_SQUARED_ERROR), 1);
        ratioOf(invocation.operation()).add(now, measured, priorSeconds(invocation));
        ratioOfAll.add(now, measured, priorSeconds(invocation));
        if (invocation.operation().makesCalls()) {
            timesAtCalls.add(now, inSeconds(tracked.timeAtCalls()), 1);
        }
    }

    /** Returns the factor on an expected cost that leaves room for the spread of such costs. */
    double spreadFactor(Duration now) {
        return 1 + DEVIATIONS_RESERVED * Math.sqrt(squaredErrors.mean(now, 0));
    }

    /** Returns the mean time that calling operations spent at calls of late, seconds. */
    double meanSecondsAtCalls(Duration now) {
        return timesAtCalls.mean(now, 0);
    }

    /** Returns the shortest latency objective among the operations that were estimated so far. */
    Duration shortestObjective() {
        return ratioByOperation.keySet().stream()
                .map(Operation::latencyObjective)
                .sorted()
                .findFirst()
                .orElse(MeasurementWindows.BUCKET);
    }

    private SlidingWindow ratioOf(Operation operation) {
        return ratioByOperation.computeIfAbsent(
                operation, unmeasured -> MeasurementWindows.longWindow());
    }

    private static double priorSeconds(Invocation invocation) {
        Duration objective = invocation.operation().latencyObjective();
        return invocation.expectedWork() != null
                ? inSeconds(invocation.expectedWork())
                : inSeconds(objective) * PRIOR_SHARE_OF_OBJECTIVE;
    }
}
