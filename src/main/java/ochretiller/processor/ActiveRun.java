package ochretiller.processor;

import java.time.Duration;
import java.util.Optional;
import ochretiller.execution.RunBackend.RunListener;
import ochretiller.model.RunOutcome;

/**
 * A run that is not known to have ended, with the data needed to repeat its commands on a new
 * connection. Confined to the event loop.
 */
final class ActiveRun {
    /** The request id of the run. */
    final String requestId;

    /** The name of the operation. */
    final String operation;

    /** The request body; empty for a resumed run. */
    final byte[] body;

    /** Whether it may be started again if it is unknown whether it has run. */
    final boolean isRetryable;

    /** Whether a previous process started it; this process never does. */
    final boolean isResumed;

    /** Whether it has been cancelled. */
    boolean isCancelled;

    /** The reply to the last call, until the next call or the end of the run confirms receipt. */
    Optional<byte[]> callReply = Optional.empty();

    private final RunListener listener;

    private ActiveRun(
            String requestId,
            String operation,
            byte[] body,
            boolean isRetryable,
            boolean isResumed,
            RunListener listener) {
        this.requestId = requestId;
        this.operation = operation;
        this.body = body;
        this.isRetryable = isRetryable;
        this.isResumed = isResumed;
        this.listener = listener;
    }

    /** Creates a run that this process starts. */
    static ActiveRun started(
            String requestId,
            String operation,
            byte[] body,
            boolean isRetryable,
            RunListener listener) {
        return new ActiveRun(requestId, operation, body, isRetryable, false, listener);
    }

    /** Creates a run that a previous process has started. */
    static ActiveRun resumed(String requestId, String operation, RunListener listener) {
        return new ActiveRun(requestId, operation, new byte[0], false, true, listener);
    }

    /**
     * Reports the end of the run to its listener. Must be called once.
     *
     * @param status how the run ended
     * @param elapsed the duration that the processor reported
     * @param result the result's bytes, or null if there is none
     */
    void finish(RunOutcome.Status status, Duration elapsed, byte[] result) {
        listener.onRunFinished(status, elapsed, result);
    }
}
