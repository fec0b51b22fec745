package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvocationId;

/**
 * The in-flight marker of one keyed attempt, and the retries that wait for it. It is set when the
 * attempt is read and spans queueing, run and store, so that no retry runs beside it.
 */
final class IdempotencyEntry {
    /** What is known of the attempt. */
    enum State {
        /** It was admitted and its run has not started. */
        PENDING,
        /** Its run has started and has not ended. */
        RUNNING,
        /** Its result is stored and can be replayed. */
        SUCCEEDED,
        /** Its run ended without a result; its effect may have happened, so it is not run again. */
        INDETERMINATE,
        /** It is known never to have run: a retry may take its place. */
        DISCARDED
    }

    private final InvocationId id;
    private final Duration expiresAt;
    private State state = State.PENDING;
    private List<TrackedInvocation> waitingRetries = new ArrayList<>();

    /**
     * Creates the entry of an attempt that has not started.
     *
     * @param id the attempt
     * @param expiresAt end of its deduplication window, counted from the start of the server
     */
    IdempotencyEntry(InvocationId id, Duration expiresAt) {
        this.id = id;
        this.expiresAt = expiresAt;
    }

    InvocationId id() {
        return id;
    }

    Duration expiresAt() {
        return expiresAt;
    }

    boolean isExpired(Duration now) {
        return expiresAt.compareTo(now) <= 0;
    }

    boolean isIn(State expected) {
        return state == expected;
    }

    void transitionTo(State next) {
        state = next;
    }

    void addWaitingRetry(TrackedInvocation retry) {
        waitingRetries.add(retry);
    }

    void removeWaitingRetry(TrackedInvocation retry) {
        waitingRetries.remove(retry);
    }

    /** Returns the retries that wait, in the order they came; none waits afterwards. */
    List<TrackedInvocation> takeWaitingRetries() {
        List<TrackedInvocation> released = waitingRetries;
        waitingRetries = new ArrayList<>();
        return released;
    }
}
