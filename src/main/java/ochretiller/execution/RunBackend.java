package ochretiller.execution;

import java.time.Duration;
import ochretiller.model.RunOutcome;

/** Executes runs. All methods are called on the event loop thread. */
public interface RunBackend {
    /**
     * Starts a run.
     *
     * @param listener called once, at the end of the run, and never before this method has returned
     */
    void startRun(RunRequest request, RunListener listener);

    /**
     * Stops a run whose result is no longer needed, if the backend supports that; its end is
     * reported as for any other run.
     */
    void cancelRun(String requestId);

    /** Receives the end of a run. */
    @FunctionalInterface
    interface RunListener {
        /**
         * Handles the end of the run.
         *
         * @param elapsed time since it was started, including waits
         * @param result the result if the run succeeded; undefined otherwise
         */
        void onRunFinished(RunOutcome.Status status, Duration elapsed, byte[] result);
    }
}
