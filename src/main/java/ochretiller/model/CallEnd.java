package ochretiller.model;

import java.time.Duration;

/**
 * How a call below ended.
 *
 * @param result what came of it
 * @param took time since it was made
 */
public record CallEnd(Result result, Duration took) {
    /** What came of a call, and whether it is known not to have run. */
    public enum Result {
        SUCCEEDED(false),
        ERRORED(false),
        TIMED_OUT(false),
        RESET(false),
        TURNED_AWAY(true),
        NOT_REACHED(true);

        private final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }

        public boolean neverRan() {
            return neverRan;
        }
    }
}
