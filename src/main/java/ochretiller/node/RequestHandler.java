package ochretiller.node;

import java.time.Duration;
import ochretiller.frontend.RequestAttempt;

/** Handles client requests, before or after the processor is available. Event loop thread. */
interface RequestHandler {
    /**
     * Returns whether a request repeats a keyed one that this server knows and that may have run.
     */
    boolean isKnownRetry(RequestAttempt attempt);

    /** Handles a request that was just read. */
    void onRequestRead(RequestAttempt attempt);

    /** Handles the disconnect of a client whose request was not answered. */
    void onClientDisconnected(RequestAttempt attempt);

    /**
     * Handles the notice that the server will shut down.
     *
     * @param killAfter time until the process is killed
     */
    void onShutdownNotice(Duration killAfter);
}
