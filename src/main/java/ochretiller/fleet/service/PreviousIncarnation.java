package ochretiller.fleet.service;

import java.time.Duration;
import java.util.function.Consumer;

/** Looks up whether previous processes of this server ran an invocation, as its disk proves. */
public interface PreviousIncarnation {
    /** Progress of a previous run. */
    enum Finding {
        /** No run was ever started, since the disk has no in-flight marker of it. */
        NEVER,
        /** A run may have been started, and its outcome is not known. */
        UNKNOWN,
        /** The run has ended. */
        ENDED
    }

    /**
     * A previous run of an invocation.
     *
     * @param body fingerprint of operation and request body; null unless the run has ended
     * @param result null if the run did not succeed
     * @param windowEnds end of the idempotency window; zero unless the run has ended
     */
    record PreviousRun(Finding kind, String body, byte[] result, Duration windowEnds) {
        public static final PreviousRun NEVER =
                new PreviousRun(Finding.NEVER, null, null, Duration.ZERO);
        public static final PreviousRun UNKNOWN =
                new PreviousRun(Finding.UNKNOWN, null, null, Duration.ZERO);
    }

    /** Looks up the run of a token; calls the completion once, possibly before returning. */
    void lookUp(String token, Consumer<PreviousRun> completion);
}
