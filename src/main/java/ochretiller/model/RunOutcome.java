package ochretiller.model;

import java.time.Duration;

/**
 * Outcome of a run or a replay.
 *
 * @param status how it ended
 * @param elapsed time since it was started, including waits
 */
public record RunOutcome(Status status, Duration elapsed) {
    /** How a run ended. */
    public enum Status {
        /** It has a result. */
        SUCCEEDED("SUCCEEDED"),
        /** It has no result, and may have had its effect. */
        FAILED("ERRORED"),
        /**
         * It was stopped, or ended at a call because its client was already answered or had
         * disconnected.
         */
        STOPPED("STOPPED"),
        /** The backend knows that nothing was executed: the request ended before it could start. */
        NEVER_STARTED("NOTHING"),
        /**
         * Nothing was sent to a backend: the in-flight marker could not be made durable in time, or
         * no worker could accept the run.
         */
        NOT_DISPATCHED("NOT_BEGUN");

        private final String externalName;

        Status(String externalName) {
            this.externalName = externalName;
        }

        /** Returns the name used in log lines; it must not change when the constant is renamed. */
        public String externalName() {
            return externalName;
        }
    }
}
