package ochretiller.frontend;

import java.time.Duration;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * One attempt of a client's request, from its arrival until it is answered and its run is over.
 * Belongs to the event loop.
 */
public final class RequestAttempt {
    /** Identifies the attempt within this process. */
    public final InvocationId id;

    /** The request id, by which the processor and the records service know the attempt. */
    public final String rid;

    /** The operation to run. */
    public final Operation operation;

    /** Memory to reserve for the attempt, in KB. */
    public final double kb;

    /** Identifies the client. */
    public final long caller;

    /** When the attempt reached the machine, since the server's start. */
    public final Duration arrived;

    /**
     * When the client sent the attempt, in Unix milliseconds, or {@code
     * IdempotencyCache.NO_CLIENT_TIMESTAMP}.
     */
    public final long t0;

    /** The idempotency key; null where the operation has none. */
    public final String token;

    /** The object that a read is about; null where it names none. */
    public final String object;

    /** The request body. */
    public final byte[] body;

    /** The number of the request on its connection. */
    public final long number;

    final ClientConnection peer;
    private boolean answered;
    private boolean running;
    private long version;

    /**
     * An attempt as it was read.
     *
     * @param token the idempotency key or null; kept only where the operation is keyed
     * @param object the object of a read or null; kept only where the operation is not keyed
     * @param peer the connection that gets the answer
     */
    public RequestAttempt(
            InvocationId id,
            String rid,
            Operation operation,
            double kb,
            long caller,
            Duration arrived,
            long t0,
            String token,
            String object,
            byte[] body,
            ClientConnection peer,
            long number) {
        this.id = id;
        this.rid = rid;
        this.operation = operation;
        this.kb = kb;
        this.caller = caller;
        this.arrived = arrived;
        this.t0 = t0;
        this.token = operation.isKeyed() ? token : null;
        this.object = operation.isKeyed() ? null : object;
        this.body = body;
        this.peer = peer;
        this.number = number;
    }

    /** Whether the client has been answered, or no longer waits. */
    public boolean answered() {
        return answered;
    }

    /** Whether a run of this attempt was started and is not over. */
    public boolean running() {
        return running;
    }

    /** Notes whether a run of this attempt is under way. */
    public void runs(boolean now) {
        running = now;
    }

    /** The version of the fleet's configuration that the attempt is bound to; 0 for none. */
    public long version() {
        return version;
    }

    /** Binds the attempt to a version of the fleet's configuration until its end. */
    public void bind(long to) {
        version = to;
    }

    void settle() {
        answered = true;
    }
}
