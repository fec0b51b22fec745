package ochretiller.admission;

import java.time.Duration;

/** Durations that several admission decisions share. */
final class AdmissionTiming {
    /** Interval of the periodic tick. Deadlines and objectives have timers of their own. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** A final answer is given this long before its deadline, to cover timers that fire late. */
    static final Duration ANSWER_MARGIN = Duration.ofMillis(80);

    private AdmissionTiming() {}
}
