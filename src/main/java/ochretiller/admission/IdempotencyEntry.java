package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvocationId;

/**
 * The in-flight marker of one keyed attempt, and the retries that wait for it. It is set when the
 * attempt is read and covers queueing, run and storage, so that no retry runs concurrently.
 */
final class IdempotencyEntry {
    /** State of the attempt. */
    enum State {
        /** Admitted; its run has not started. */
        PENDING,
        /** Its run has started and not ended. */
        RUNNING,
        /** Its result is stored and can be replayed. */
        SUCCEEDED,
        /** Its run ended without a result. Its effect may have happened, so it is not run again. */
        INDETERMINATE,
        /** Known never to have run: a retry may be admitted in its place. */
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
     * @param expiresAt end of its deduplication window, as time since the start of the server
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

    boolean hasState(State expected) {
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

    /** Removes and returns the waiting retries, in the order in which they were added. */
    List<TrackedInvocation> takeWaitingRetries() {
        List<TrackedInvocation> released = waitingRetries;
        waitingRetries = new ArrayList<>();
        return released;
    }
}
