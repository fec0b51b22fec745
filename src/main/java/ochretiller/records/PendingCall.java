package ochretiller.records;

import java.time.Duration;
import java.util.Optional;
import ochretiller.net.ScheduledTask;

/** A call that has not ended. Confined to the event loop. */
final class PendingCall {
    /** The request id of the run that made the call. */
    final String requestId;

    /** How long the run waits for the reply. */
    final Duration timeout;

    /** The call's body. */
    final byte[] body;

    /** When the call was made, measured from the start of the server. */
    final Duration startedAt;

    final CallListener listener;

    /** The connection that the call was written to; empty until it is written. */
    Optional<RecordsConnection> connection = Optional.empty();

    /** Ends the call when its timeout is over; cancelled when it has ended. */
    ScheduledTask timeoutTask;

    PendingCall(
            String requestId,
            Duration timeout,
            byte[] body,
            Duration startedAt,
            CallListener listener) {
        this.requestId = requestId;
        this.timeout = timeout;
        this.body = body;
        this.startedAt = startedAt;
        this.listener = listener;
    }
}
