package ochretiller.admission;

import java.time.Duration;

/** Durations that several admission decisions share. */
final class AdmissionTiming {
    /** Interval of the periodic tick. Deadlines and objectives have timers of their own. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Time before its deadline at which a final answer is sent, to allow for late timers. */
    static final Duration ANSWER_MARGIN = Duration.ofMillis(80);

    private AdmissionTiming() {}
}
