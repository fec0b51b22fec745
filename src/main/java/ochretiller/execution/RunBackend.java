package ochretiller.execution;

import java.time.Duration;
import ochretiller.model.RunOutcome;

/** Carries out runs; on the one thread. */
public interface RunBackend {
    /** Begins a run; {@code then} is told once of its end, never before this has returned. */
    void startRun(RunRequest task, RunListener then);

    /**
     * Nobody waits for this run any more: it is stopped where that can be done, and its end
     * follows.
     */
    void cancelRun(String rid);

    /** What is told of the end of a run. */
    @FunctionalInterface
    interface RunListener {
        /**
         * The end.
         *
         * @param took time since it began, waits included
         * @param result bytes of one that has succeeded, else null or nobody's
         */
        void onRunFinished(RunOutcome.Status end, Duration took, byte[] result);
    }
}
