package ochretiller.gateway;

import java.time.Duration;
import ochretiller.model.InvId;
import ochretiller.model.Operation;

/** One try as a gateway sent it, from its reading until it is answered and its run is over. */
public final class Try {
    public final InvId id;
    public final String rid;
    public final Operation operation;
    public final double kb;
    public final long caller;
    /** When it reached the machine, on the schedule. */
    public final Duration arrived;
    /** The token of a tokened one, else null. */
    public final String token;
    /** What a read is about, or null. */
    public final String object;
    public final byte[] body;
    final Peer peer;
    final long rpcId;
    private boolean answered;
    private boolean running;

    Try(InvId id, Params params, Operation operation, Duration arrived, Peer peer, long rpcId) {
        this.id = id;
        this.rid = params.rid();
        this.operation = operation;
        this.kb = params.kb();
        this.caller = params.caller();
        this.arrived = arrived;
        this.token = operation.tokened() ? params.token() : null;
        this.object = operation.tokened() ? null : params.object();
        this.body = params.body();
        this.peer = peer;
        this.rpcId = rpcId;
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

    void settle() {
        answered = true;
    }
}
