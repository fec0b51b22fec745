package ochretiller.model;

import java.time.Duration;

/**
 * How a run or a replay ended.
 *
 * @param status what came of it
 * @param elapsed time since it began, waits included
 */
public record RunOutcome(Status status, Duration elapsed) {
    /** What came of a run. */
    public enum Status {
        SUCCEEDED("SUCCEEDED"),
        FAILED("ERRORED"),
        /**
         * It was stopped, or ended at a call because its answer had been given or its caller was
         * gone.
         */
        STOPPED("STOPPED"),
        /** It never started: it was over already. */
        NEVER_STARTED("NOTHING"),
        /**
         * It is proven not to have begun: its mark could not be made durable in time, or no worker
         * could take it.
         */
        NOT_DISPATCHED("NOT_BEGUN");

        private final String externalName;

        Status(String externalName) {
            this.externalName = externalName;
        }

        /** The word by which log lines name it; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }
    }
}
