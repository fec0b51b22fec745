package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.model.Operation;
import ochretiller.server.ServerActions;

/**
 * Decides whether an invocation that has not run is queued, rejected or, if it repeats a keyed
 * attempt, tied to that attempt. Enforces at-most-once effects: a retry never runs concurrently
 * with its original attempt, nor after one that may have had its effect.
 *
 * <p>Rejection and re-admission are in one class because each causes the other: when a keyed
 * invocation is rejected before it ran, a retry that waited for it is admitted in its place.
 */
final class AdmissionGate {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final OverloadDetector overload;
    private final Responder responder;

    AdmissionGate(
            AdmissionState state,
            CapacityLimits limits,
            OverloadDetector overload,
            Responder responder) {
        this.state = state;
        this.limits = limits;
        this.overload = overload;
        this.responder = responder;
    }

    /** Decides on an invocation that was just read. */
    void decide(ServerActions server, TrackedInvocation tracked) {
        Optional<IdempotencyEntry> original = state.idempotency().findOriginal(tracked);
        boolean neverRan = original.map(entry -> entry.hasState(State.DISCARDED)).orElse(false);
        if (tracked.isKeyedRetry() && !neverRan) {
            followOriginal(server, tracked, original);
        } else {
            admit(server, tracked);
        }
    }

    /**
     * Ties a retry to its original attempt: the retry waits for the end of that attempt or is
     * answered from it, and does not run itself while the attempt may have run.
     *
     * @param original entry of the original attempt; empty if the attempt is unknown
     */
    void followOriginal(
            ServerActions server, TrackedInvocation retry, Optional<IdempotencyEntry> original) {
        if (original.isEmpty() || original.get().hasState(State.SUCCEEDED)) {
            // An unknown attempt may have run: the host answers with its result or with an error.
            retry.startReplay();
            server.replayResult(retry.id(), outcome -> unused -> state.registry().remove(retry));
        } else if (original.get().hasState(State.INDETERMINATE)) {
            responder.fail(server, retry); // the failed run may have had its effect
        } else {
            retry.awaitOriginal(original.get());
        }
    }

    /** Decides again on the retries that wait for an attempt. */
    void releaseWaitingRetries(ServerActions server, IdempotencyEntry original) {
        for (TrackedInvocation retry : original.takeWaitingRetries()) {
            followOriginal(server, retry, Optional.of(original));
        }
    }

    /**
     * Rejects an invocation that never ran.
     *
     * @param isFinal whether no other server could answer it in time either
     */
    void reject(ServerActions server, TrackedInvocation tracked, boolean isFinal) {
        discardEntry(server, tracked);
        responder.reject(server, tracked, isFinal);
    }

    /**
     * Removes the pending entry, if any, of an attempt that never ran. Of the retries that waited
     * for the attempt, the first that can be admitted takes its place, and the later ones wait for
     * that retry.
     */
    void discardEntry(ServerActions server, TrackedInvocation tracked) {
        Optional<IdempotencyEntry> entry =
                state.idempotency()
                        .find(tracked.id())
                        .filter(found -> found.hasState(State.PENDING));
        if (entry.isEmpty()) {
            return;
        }
        List<TrackedInvocation> retries = entry.get().takeWaitingRetries();
        state.idempotency().discard(entry.get());
        server.removeIdempotencyEntry(tracked.id());
        Optional<IdempotencyEntry> successor = Optional.empty();
        for (TrackedInvocation retry : retries) {
            if (successor.isPresent()) {
                followOriginal(server, retry, successor);
            } else {
                admit(server, retry);
                successor = findUndiscarded(retry); // empty if it was rejected
            }
        }
    }

    private Optional<IdempotencyEntry> findUndiscarded(TrackedInvocation tracked) {
        return state.idempotency()
                .find(tracked.id())
                .filter(entry -> !entry.hasState(State.DISCARDED));
    }

    /** Queues an invocation, or rejects it if it must not or cannot run. */
    private void admit(ServerActions server, TrackedInvocation tracked) {
        Duration now = server.now();
        boolean isTooLate = tracked.isPastCompletionDeadline(now);
        if (isTooLate
                || lacksIdempotencyCapacity(server, tracked, now)
                || isShedForReadBacklog(tracked)
                || limits.drain().forbids(tracked.invocation(), now)) {
            reject(server, tracked, isTooLate);
            return;
        }
        Operation operation = tracked.operation();
        if (operation.isKeyed()) {
            // Registered before it runs: without an entry its retries are not recognized.
            state.idempotency().register(tracked.invocation(), now);
            Duration window = operation.deduplicationWindow();
            server.putIdempotencyEntry(
                    tracked.id(), tracked.invocation().arrivedAt().plus(window).minus(now));
        }
        state.queue().add(tracked);
    }

    /** Returns whether a keyed invocation cannot get an entry, without which it must not run. */
    private boolean lacksIdempotencyCapacity(
            ServerActions server, TrackedInvocation tracked, Duration now) {
        if (!tracked.operation().isKeyed()) {
            return false;
        }
        IdempotencyTable table = state.idempotency();
        return !(table.hasCapacity(now)
                && limits.memory().fits(table.entryKb(), table.usedKb(now))
                && server.acceptsIdempotencyEntries());
    }

    /** Only idempotent invocations are shed: a client cannot safely retry any other. */
    private boolean isShedForReadBacklog(TrackedInvocation tracked) {
        if (!tracked.operation().isIdempotent()) {
            return false;
        }
        Duration objective = state.costs().shortestObjective();
        return tracked.invocation().isRetry()
                ? overload.hasReadBacklogForRetry(objective)
                : overload.hasReadBacklog(objective);
    }
}
