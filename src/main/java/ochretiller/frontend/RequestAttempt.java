package ochretiller.frontend;

import java.time.Duration;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * One attempt of a client's request, from its arrival until it is answered and its run has ended.
 * Confined to the event loop.
 */
public final class RequestAttempt {
    /** The id of the attempt, unique within this process. */
    public final InvocationId id;

    /** The request id, which identifies the attempt to the processor and the records service. */
    public final String requestId;

    /** The operation to run. */
    public final Operation operation;

    /** Memory to reserve for the attempt, in KB. */
    public final double memoryKb;

    /** The id of the client. */
    public final long clientId;

    /** When the attempt reached this machine, measured from the start of the server. */
    public final Duration arrivedAt;

    /**
     * When the client sent the attempt, in Unix milliseconds, or {@code
     * IdempotencyCache.NO_CLIENT_TIMESTAMP}.
     */
    public final long sentAtMillis;

    /** The idempotency key; null unless the operation is keyed. */
    public final String token;

    /** The object that the request reads; null if it names none or the operation is keyed. */
    public final String object;

    /** The request body. */
    public final byte[] body;

    /** The number of the request on its connection. */
    public final long number;

    final ClientConnection clientConnection;
    private boolean isAnswered;
    private boolean isRunning;
    private long version;

    /**
     * Creates an attempt that is not answered and not running.
     *
     * @param token the idempotency key or null; ignored unless the operation is keyed
     * @param object the object that is read or null; ignored if the operation is keyed
     * @param peer the connection to answer on
     */
    public RequestAttempt(
            InvocationId id,
            String requestId,
            Operation operation,
            double memoryKb,
            long clientId,
            Duration arrivedAt,
            long sentAtMillis,
            String token,
            String object,
            byte[] body,
            ClientConnection peer,
            long number) {
        this.id = id;
        this.requestId = requestId;
        this.operation = operation;
        this.memoryKb = memoryKb;
        this.clientId = clientId;
        this.arrivedAt = arrivedAt;
        this.sentAtMillis = sentAtMillis;
        this.token = operation.isKeyed() ? token : null;
        this.object = operation.isKeyed() ? null : object;
        this.body = body;
        this.clientConnection = peer;
        this.number = number;
    }

    /** Returns whether the client has been answered or no longer waits. */
    public boolean isAnswered() {
        return isAnswered;
    }

    /** Returns whether a run of this attempt is in progress. */
    public boolean isRunning() {
        return isRunning;
    }

    /** Sets whether a run of this attempt is in progress. */
    public void setRunning(boolean nowRunning) {
        isRunning = nowRunning;
    }

    /** Returns the version of the fleet configuration that the attempt is bound to, 0 if none. */
    public long version() {
        return version;
    }

    /** Binds the attempt to a version of the fleet configuration until it ends. */
    public void bindToVersion(long fleetVersion) {
        version = fleetVersion;
    }

    void markAnswered() {
        isAnswered = true;
    }
}
