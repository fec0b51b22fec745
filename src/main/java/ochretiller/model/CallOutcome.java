package ochretiller.model;

import java.time.Duration;

/**
 * Outcome of a call to a downstream service.
 *
 * @param status how the call ended
 * @param elapsed duration of the call
 */
public record CallOutcome(Status status, Duration elapsed) {
    /** How a call ended. */
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
