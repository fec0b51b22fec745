package ochretiller.records;

import java.time.Duration;
import java.util.Optional;

/** A call that is not over. Belongs to the event loop. */
final class PendingCall {
    /** The request id of the run that makes the call. */
    final String requestId;

    /** How long the run waits for the reply. */
    final Duration timeout;

    /** The call's body. */
    final byte[] body;

    /** When the call was made, since the server's start. */
    final Duration startedAt;

    final CallListener listener;

    /** The connection that the call was written to. */
    Optional<RecordsConnection> connection = Optional.empty();

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
