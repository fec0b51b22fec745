package ochretiller.emulator.simulation;

import java.time.Duration;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/** One try on its way to a box and back. */
final class RequestAttempt {
    /** What its caller's side hears. */
    enum Answer {
        SUCCEEDED,
        ERRORED,
        THROTTLED,
        RESET
    }

    /** Who hears of its end. */
    @FunctionalInterface
    interface Heard {
        /**
         * The end.
         *
         * @param backoff when to come back, zero for no word
         * @param last no other box should be tried
         */
        void answer(Answer answer, Duration backoff, boolean last);
    }

    final InvocationId id;
    final Operation operation;
    final String token;
    final long caller;
    final double kb;

    /** Core time that its run takes, seconds. */
    final double work;

    final boolean resent;
    final Heard heard;

    /** On the box's clock. */
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
            double kb,
            double work,
            boolean resent,
            Heard heard) {
        this.id = new InvocationId(id);
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.kb = kb;
        this.work = work;
        this.resent = resent;
        this.heard = heard;
    }
}
