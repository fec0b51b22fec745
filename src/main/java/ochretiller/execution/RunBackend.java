package ochretiller.execution;

import java.time.Duration;
import ochretiller.model.RunOutcome;

/** Executes runs. All methods are called on the event loop thread. */
public interface RunBackend {
    /**
     * Starts a run.
     *
     * @param listener is told of the end of the run, once, and never before this method has
     *     returned
     */
    void startRun(RunRequest request, RunListener listener);

    /**
     * Stops a run for which nobody waits any more, if the backend can; its end is reported as for
     * any other run.
     */
    void cancelRun(String requestId);

    /** Is told of the end of a run. */
    @FunctionalInterface
    interface RunListener {
        /**
         * The run has ended.
         *
         * @param elapsed time since it was started, waits included
         * @param result the result of a run that has succeeded; of no meaning otherwise
         */
        void onRunFinished(RunOutcome.Status status, Duration elapsed, byte[] result);
    }
}
