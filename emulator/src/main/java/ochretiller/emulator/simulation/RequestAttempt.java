package ochretiller.emulator.simulation;

import java.time.Duration;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/** One attempt of a request, from a gateway to a server and back. */
final class RequestAttempt {
    /** The answer that the gateway receives; a reset is a lost connection. */
    enum Answer {
        SUCCEEDED,
        ERRORED,
        THROTTLED,
        RESET
    }

    /** Receives the answer of an attempt. */
    @FunctionalInterface
    interface AnswerListener {
        /**
         * Handles the answer.
         *
         * @param backoff advised pause before a retry, zero if no advice is given
         * @param isFinal whether the gateway is asked not to try another server
         */
        void onAnswer(Answer answer, Duration backoff, boolean isFinal);
    }

    final InvocationId id;
    final Operation operation;
    final String token;
    final long caller;
    final double sizeKb;

    /** Core time of its run, seconds. */
    final double workSeconds;

    final boolean retry;
    final AnswerListener listener;

    /** Arrival time on the server's clock, null before it. */
    Duration arrivedAt;

    boolean answered;
    boolean running;
    boolean clientGone;
    boolean callInProgress;
    CpuModel.Job job;

    RequestAttempt(
            long id,
            Operation operation,
            String token,
            long caller,
            double sizeKb,
            double workSeconds,
            boolean retry,
            AnswerListener listener) {
        this.id = new InvocationId(id);
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.sizeKb = sizeKb;
        this.workSeconds = workSeconds;
        this.retry = retry;
        this.listener = listener;
    }
}
