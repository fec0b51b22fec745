package ochretiller.frontend;

import java.time.Duration;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/** One try as a caller sent it, from its reading until it is answered and its run is over. */
public final class RequestAttempt {
    public final InvocationId id;

    /** Its name on all wires below. */
    public final String rid;

    public final Operation operation;
    public final double kb;
    public final long caller;

    /** When it reached the machine, on the schedule. */
    public final Duration arrived;

    /**
     * The like as its caller dated it, in Unix milliseconds, or {@code IdempotencyCache.UNDATED}.
     */
    public final long t0;

    /** The token of a tokened one, else null. */
    public final String token;

    /** What a read is about, or null. */
    public final String object;

    public final byte[] body;

    /** Its number on its connection. */
    public final long number;

    final ClientConnection peer;
    private boolean answered;
    private boolean running;
    private long version;

    /** What was read; token or object are kept only where the operation has a use for them. */
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

    public boolean answered() {
        return answered;
    }

    public boolean running() {
        return running;
    }

    public void runs(boolean now) {
        running = now;
    }

    /**
     * The version of what the fleet's servers act on that it is bound to, from its reading to its
     * end; 0 where there is none.
     */
    public long version() {
        return version;
    }

    public void bind(long to) {
        version = to;
    }

    void settle() {
        answered = true;
    }
}
