package ochretiller.node;

import java.util.List;

/** How far a run has come between its admission and the answer to its client. */
enum RunState {
    /** Admission has decided that it runs. */
    ADMITTED,
    /** It waits until the fleet has granted the claim on its idempotency key. */
    CLAIMING(ADMITTED),
    /** It waits until its in-flight marker is durable. */
    WRITING_MARKER(ADMITTED, CLAIMING),
    /** A backend executes it. */
    EXECUTING(WRITING_MARKER),
    /** It has ended; the answer waits until the outcome is stored where retries look for it. */
    STORING_OUTCOME(EXECUTING),
    /** Its client has the answer. */
    ANSWERED(STORING_OUTCOME),
    /** It was abandoned before it reached a backend. */
    NOT_DISPATCHED(ADMITTED, CLAIMING, WRITING_MARKER);

    private final List<RunState> predecessors;

    RunState(RunState... predecessors) {
        this.predecessors = List.of(predecessors);
    }

    /** Returns whether a run may come from {@code previous} into this state. */
    boolean canFollow(RunState previous) {
        return predecessors.contains(previous);
    }
}
