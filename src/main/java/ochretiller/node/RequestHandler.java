package ochretiller.node;

import java.time.Duration;
import ochretiller.frontend.RequestAttempt;

/** Handles requests of clients, before or after the processor is available. Event loop thread. */
interface RequestHandler {
    /** A request was read. */
    void onRequestRead(RequestAttempt attempt);

    /** The client of a request that is not answered is gone. */
    void onClientGone(RequestAttempt attempt);

    /**
     * The server is to shut down.
     *
     * @param killAfter time until the process is killed
     */
    void onShutdownNotice(Duration killAfter);
}
