package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.time.SlidingWindow;

/**
 * Estimates the time that an invocation takes on the cores: its prior estimate, times the ratio of
 * measured time to prior estimates for its operation over the last ten seconds. The ratio follows
 * the current speed of the cores.
 */
final class CostEstimator {
    /** Prior estimate without a client's hint, as a share of the latency objective. */
    private static final double PRIOR_SHARE_OF_OBJECTIVE = 0.2;

    /** Safety margin of an estimate, in standard deviations of its relative error. */
    private static final double MARGIN_DEVIATIONS = 0.5;

    /** Cap on one squared relative error, so that one slow run does not dominate the margin. */
    private static final double MAX_SQUARED_ERROR = 9;

    /** Smallest cost used as a divisor, seconds. */
    private static final double MIN_COST_S = 1e-6;

    private final Map<Operation, SlidingWindow> ratioByOperation = new HashMap<>();
    private final SlidingWindow overallRatio = MeasurementWindows.longWindow();
    private final SlidingWindow squaredErrors = MeasurementWindows.longWindow();
    private final SlidingWindow callTimes = MeasurementWindows.shortWindow();

    /** Returns the expected time on the cores, seconds. */
    double expectedSeconds(Invocation invocation, Duration now) {
        // Without recent measurements, an operation gets the ratio of all operations: one with too
        // high a prior estimate would otherwise never run, and its estimate never be corrected.
        return priorSeconds(invocation)
                * ratioOf(invocation.operation()).mean(now, overallRatio.mean(now, 1));
    }

    /** Returns {@link #expectedSeconds}, at least a microsecond, for use as a divisor. */
    double positiveExpectedSeconds(Invocation invocation, Duration now) {
        return Math.max(MIN_COST_S, expectedSeconds(invocation, now));
    }

    /** Records a run that succeeded; {@code onCores} excludes its downstream calls. */
    void onRunSucceeded(TrackedInvocation tracked, Duration onCores, Duration now) {
        Invocation invocation = tracked.invocation();
        double measured = inSeconds(onCores);
        double error = measured / positiveExpectedSeconds(invocation, now) - 1;
        squaredErrors.add(now, Math.min(error * error, MAX_SQUARED_ERROR), 1);
        ratioOf(invocation.operation()).add(now, measured, priorSeconds(invocation));
        overallRatio.add(now, measured, priorSeconds(invocation));
        if (invocation.operation().makesCalls()) {
            callTimes.add(now, inSeconds(tracked.timeInCalls()), 1);
        }
    }

    /** Returns the factor that adds the safety margin to an expected cost. */
    double safetyFactor(Duration now) {
        return 1 + MARGIN_DEVIATIONS * Math.sqrt(squaredErrors.mean(now, 0));
    }

    /** Returns the recent mean time of calling operations in downstream calls, seconds. */
    double meanSecondsInCalls(Duration now) {
        return callTimes.mean(now, 0);
    }

    /** Returns the shortest latency objective of the operations estimated so far. */
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
