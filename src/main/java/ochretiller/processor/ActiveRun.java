package ochretiller.processor;

import java.time.Duration;
import java.util.Optional;
import ochretiller.execution.RunBackend.RunListener;
import ochretiller.model.RunOutcome;

/**
 * A run whose end is not known yet, with what a new connection must be told of it. Belongs to the
 * event loop.
 */
final class ActiveRun {
    /** The request id of the run. */
    final String requestId;

    /** The name of its operation. */
    final String operation;

    /** The request body; empty for a resumed run. */
    final byte[] body;

    /** Whether it may run a second time where it is not known whether it did. */
    final boolean isRetryable;

    /** Whether a previous process started it, so that it is never started here. */
    final boolean isResumed;

    /** Whether it is to be stopped. */
    boolean isCancelled;

    /** The reply to its last call, until the next call or its end shows that it was received. */
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

    /** A run that this process starts. */
    static ActiveRun started(
            String requestId,
            String operation,
            byte[] body,
            boolean isRetryable,
            RunListener listener) {
        return new ActiveRun(requestId, operation, body, isRetryable, false, listener);
    }

    /** A run that a previous process has started. */
    static ActiveRun resumed(String requestId, String operation, RunListener listener) {
        return new ActiveRun(requestId, operation, new byte[0], false, true, listener);
    }

    /**
     * Reports the end of the run, once.
     *
     * @param status how it ended
     * @param elapsed how long it took, as the processor says
     * @param result the result's bytes, or null where none came
     */
    void finish(RunOutcome.Status status, Duration elapsed, byte[] result) {
        listener.onRunFinished(status, elapsed, result);
    }
}
