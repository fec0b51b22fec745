package ochretiller.fleet.service;

import java.time.Duration;
import java.util.function.Consumer;

/** Looks up whether previous processes of this server ran an invocation, as its disk proves. */
public interface PreviousRunLookup {
    /** Progress of a previous run. */
    enum Progress {
        /** No run was ever started, since the disk has no in-flight marker of it. */
        NEVER_STARTED,
        /** A run may have been started, and its outcome is not known. */
        UNKNOWN,
        /** The run has ended. */
        COMPLETED
    }

    /**
     * A previous run of an invocation.
     *
     * @param fingerprint fingerprint of operation and request body; null unless the run has ended
     * @param result null if the run did not succeed
     * @param windowEnd end of the idempotency window; zero unless the run has ended
     */
    record PreviousRun(Progress progress, String fingerprint, byte[] result, Duration windowEnd) {
        public static final PreviousRun NEVER_STARTED =
                new PreviousRun(Progress.NEVER_STARTED, null, null, Duration.ZERO);
        public static final PreviousRun UNKNOWN =
                new PreviousRun(Progress.UNKNOWN, null, null, Duration.ZERO);
    }

    /** Looks up the run of a token; calls the completion once, possibly before returning. */
    void lookUp(String token, Consumer<PreviousRun> completion);
}
