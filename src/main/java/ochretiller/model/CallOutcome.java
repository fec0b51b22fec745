package ochretiller.model;

import java.time.Duration;

/**
 * How a call to a service below ended.
 *
 * @param status what came of it
 * @param elapsed time since it was made
 */
public record CallOutcome(Status status, Duration elapsed) {
    /** What came of a call. */
    public enum Status {
        /** The service replied. */
        SUCCEEDED(false),
        /** The service replied with an error. */
        FAILED(false),
        /** No reply came in time. */
        TIMED_OUT(false),
        /** The connection ended while the call was outstanding. */
        RESET(false),
        /** The service did not accept it. */
        REJECTED(true),
        /** No connection could be made. */
        UNREACHABLE(true);

        private final boolean safeToRetry;

        Status(boolean safeToRetry) {
            this.safeToRetry = safeToRetry;
        }

        /**
         * Returns whether the call is known not to have been executed, so that it may be made
         * again.
         */
        public boolean isSafeToRetry() {
            return safeToRetry;
        }
    }
}
