package ochretiller.runs;

import java.time.Duration;
import ochretiller.model.RunEnd;

/** Carries out runs; on the one thread. */
public interface Backend {
    /** Begins a run; {@code then} is told once of its end, never before this has returned. */
    void begin(Task task, Ended then);

    /**
     * Nobody waits for this run any more: it is stopped where that can be done, and its end
     * follows.
     */
    void interrupt(String rid);

    /** What is told of the end of a run. */
    @FunctionalInterface
    interface Ended {
        /**
         * The end.
         *
         * @param took time since it began, waits included
         * @param result bytes of one that has succeeded, else null or nobody's
         */
        void ended(RunEnd.Result end, Duration took, byte[] result);
    }
}
