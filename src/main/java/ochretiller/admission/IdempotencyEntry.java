package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvocationId;

/** The entry of one tokened try: the mark, and the repeats that wait for it. */
final class IdempotencyEntry {
    enum State {
        UNRUN,
        RUNNING,
        SUCCEEDED,
        LOST,
        DROPPED
    }

    final InvocationId id;
    final Duration expires;
    State state = State.UNRUN;
    List<TrackedInvocation> waiting = new ArrayList<>();

    IdempotencyEntry(InvocationId id, Duration expires) {
        this.id = id;
        this.expires = expires;
    }

    IdempotencyEntry to(State next) {
        state = next;
        return this;
    }

    List<TrackedInvocation> release() {
        List<TrackedInvocation> released = waiting;
        waiting = new ArrayList<>();
        return released;
    }
}
