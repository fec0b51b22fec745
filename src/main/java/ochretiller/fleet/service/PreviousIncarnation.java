package ochretiller.fleet.service;

import java.time.Duration;
import java.util.function.Consumer;

/** What former processes of this server have left of a token, as far as its disk can prove. */
public interface PreviousIncarnation {
    /** How far one is known to have come. */
    enum Finding {
        /** Nothing under it was ever begun: its mark would be on the disk. */
        NEVER,
        /** It may have been begun, and its end is not known. */
        UNKNOWN,
        /** It has ended. */
        ENDED
    }

    /**
     * @param body hash of what was asked for, its operation among it; of an end only
     * @param result null where it did not succeed
     * @param windowEnds end of its window, of an end only
     */
    record PreviousRun(Finding kind, String body, byte[] result, Duration windowEnds) {
        public static final PreviousRun NEVER =
                new PreviousRun(Finding.NEVER, null, null, Duration.ZERO);
        public static final PreviousRun UNKNOWN =
                new PreviousRun(Finding.UNKNOWN, null, null, Duration.ZERO);
    }

    /** Hands over what is known, perhaps at once. */
    void lookUp(String token, Consumer<PreviousRun> then);
}
