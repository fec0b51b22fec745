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
    interface Heard {
        /**
         * Handles the answer.
         *
         * @param backoff advised pause before a retry, zero if no advice is given
         * @param isFinal whether the gateway is asked not to try another server
         */
        void answer(Answer answer, Duration backoff, boolean isFinal);
    }

    final InvocationId id;
    final Operation operation;
    final String token;
    final long caller;
    final double kb;

    /** Core time of its run, seconds. */
    final double work;

    final boolean resent;
    final Heard heard;

    /** Arrival time on the server's clock, null before it. */
    Duration arrived;

    boolean answered;
    boolean running;
    boolean gone;
    boolean called;
    CpuModel.Job job;

    RequestAttempt(
            long id,
            Operation operation,
            String token,
            long caller,
            double sizeKb,
            double workSeconds,
            boolean retry,
            Heard listener) {
        this.id = new InvocationId(id);
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.kb = sizeKb;
        this.work = workSeconds;
        this.resent = retry;
        this.heard = listener;
    }
}
