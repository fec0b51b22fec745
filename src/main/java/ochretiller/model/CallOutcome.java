package ochretiller.model;

import java.time.Duration;

/**
 * How a call below ended.
 *
 * @param status what came of it
 * @param elapsed time since it was made
 */
public record CallOutcome(Status status, Duration elapsed) {
    /** What came of a call, and whether it is known not to have run. */
    public enum Status {
        SUCCEEDED(false),
        FAILED(false),
        TIMED_OUT(false),
        RESET(false),
        REJECTED(true),
        UNREACHABLE(true);

        private final boolean safeToRetry;

        Status(boolean neverRan) {
            this.safeToRetry = neverRan;
        }

        public boolean isSafeToRetry() {
            return safeToRetry;
        }
    }
}
