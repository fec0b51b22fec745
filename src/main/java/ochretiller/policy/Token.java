package ochretiller.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvId;

/** The entry of one tokened try: the mark, and the repeats that wait for it. */
final class Token {
    enum State {
        UNRUN,
        RUNNING,
        SUCCEEDED,
        LOST,
        DROPPED
    }

    final InvId id;
    final Duration expires;
    State state = State.UNRUN;
    List<Work> waiting = new ArrayList<>();

    Token(InvId id, Duration expires) {
        this.id = id;
        this.expires = expires;
    }

    Token to(State next) {
        state = next;
        return this;
    }

    List<Work> release() {
        List<Work> released = waiting;
        waiting = new ArrayList<>();
        return released;
    }
}
