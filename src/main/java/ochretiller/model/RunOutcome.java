package ochretiller.model;

import java.time.Duration;

/**
 * How a run or a replay ended.
 *
 * @param status what came of it
 * @param elapsed time since it was started, waits included
 */
public record RunOutcome(Status status, Duration elapsed) {
    /** What came of a run. */
    public enum Status {
        /** It has a result. */
        SUCCEEDED("SUCCEEDED"),
        /** It has no result, and may have had its effect. */
        FAILED("ERRORED"),
        /**
         * It was stopped, or ended at a call because its client was answered already or is gone.
         */
        STOPPED("STOPPED"),
        /**
         * The backend knows that nothing was executed: the request was over before it could start.
         */
        NEVER_STARTED("NOTHING"),
        /**
         * Nothing was sent to a backend: its marker could not be made durable in time, or no worker
         * could take it.
         */
        NOT_DISPATCHED("NOT_BEGUN");

        private final String externalName;

        Status(String externalName) {
            this.externalName = externalName;
        }

        /**
         * Returns the word by which log lines name it; it stays whatever the constant is called.
         */
        public String externalName() {
            return externalName;
        }
    }
}
