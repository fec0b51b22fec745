package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;

/** One invocation that was read and is not over, and how far it has come. */
final class TrackedInvocation {
    enum State {
        HELD,
        WAITING,
        REPLAYING,
        RUNNING,
        PARKED,
        CALLING
    }

    final Invocation inv;
    State state = State.HELD;

    /** The pool that is to run it, or null for the cores. */
    String pool;

    /** Share of its billed value that counts. */
    double worth = 1;

    /** Its place in the order, as last reckoned. */
    double rate;

    /** Its number among those of its operation that came from the same caller. */
    int turn;

    /** Those among which it has its turn. */
    final Object kind;

    boolean ran;
    boolean answered;
    Duration startedAt = Duration.ZERO;
    Duration parkedAt = Duration.ZERO;

    /** When its call was made, and how long it may take. */
    Duration calledAt = Duration.ZERO;

    Duration patience = Duration.ZERO;

    /** Time spent at calls since it started. */
    Duration offCores = Duration.ZERO;

    TrackedInvocation(Invocation inv) {
        this.inv = inv;
        this.kind = List.of(inv.client(), inv.operation());
    }

    Operation operation() {
        return inv.operation();
    }
}
