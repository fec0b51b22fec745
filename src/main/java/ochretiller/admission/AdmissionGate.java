package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.model.Operation;
import ochretiller.server.ServerActions;

/**
 * Decides what becomes of an invocation that has not run: it is queued, rejected, or, if it repeats
 * a keyed attempt, tied to that attempt. Stands for the rule "no effect twice": a retry never runs
 * beside its original attempt, nor after one that may have had its effect.
 *
 * <p>Rejecting and re-admitting are in one class since each causes the other: a keyed invocation
 * that is rejected before it ran gives its place to the retries that waited for it.
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
    void accept(ServerActions server, TrackedInvocation tracked) {
        Optional<IdempotencyEntry> original = state.idempotency().findOriginal(tracked);
        boolean neverRan = original.map(entry -> entry.isIn(State.DISCARDED)).orElse(false);
        if (tracked.isKeyedRetry() && !neverRan) {
            followOriginal(server, tracked, original);
        } else {
            admit(server, tracked);
        }
    }

    /**
     * Ties a retry to its original attempt: it is answered with that attempt's result, or waits for
     * it, and never runs itself while the attempt may have run.
     *
     * @param original entry of the original attempt; empty if it is known no more
     */
    void followOriginal(
            ServerActions server, TrackedInvocation retry, Optional<IdempotencyEntry> original) {
        if (original.isEmpty() || original.get().isIn(State.SUCCEEDED)) {
            // An unknown attempt may have run: the host answers with its result or with an error.
            retry.startReplay();
            server.replayResult(retry.id(), outcome -> afterwards -> state.registry().close(retry));
        } else if (original.get().isIn(State.INDETERMINATE)) {
            responder.fail(server, retry); // what failed may have had its effect
        } else {
            retry.awaitOriginal();
            original.get().addWaitingRetry(retry);
        }
    }

    /** Decides anew on the retries that wait for an attempt. */
    void releaseWaitingRetries(ServerActions server, IdempotencyEntry original) {
        for (TrackedInvocation retry : original.takeWaitingRetries()) {
            followOriginal(server, retry, Optional.of(original));
        }
    }

    /**
     * Rejects an invocation that never ran.
     *
     * @param isFinal whether no other server could be in time for it either
     */
    void reject(ServerActions server, TrackedInvocation tracked, boolean isFinal) {
        discardEntry(server, tracked);
        responder.reject(server, tracked, isFinal);
    }

    /**
     * Removes the entry of an attempt that never ran, if it is keyed. The first retry that waited
     * for it takes its place, and the others wait for that one.
     */
    void discardEntry(ServerActions server, TrackedInvocation tracked) {
        Optional<IdempotencyEntry> entry =
                state.idempotency().find(tracked.id()).filter(found -> found.isIn(State.PENDING));
        if (entry.isEmpty()) {
            return;
        }
        List<TrackedInvocation> retries = entry.get().takeWaitingRetries();
        state.idempotency().discard(entry.get());
        server.removeIdempotencyEntry(tracked.id());
        for (TrackedInvocation retry : retries) {
            Optional<IdempotencyEntry> successor =
                    state.idempotency()
                            .find(retries.get(0).id())
                            .filter(found -> !found.isIn(State.DISCARDED));
            if (successor.isPresent()) {
                followOriginal(server, retry, successor);
            } else {
                admit(server, retry);
            }
        }
    }

    /** Queues an invocation, or rejects it where it must not or cannot be run. */
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
            // Set before it runs: a retry of an attempt without an entry is not known as one.
            state.idempotency().register(tracked.invocation(), now);
            Duration window = operation.deduplicationWindow();
            server.putIdempotencyEntry(
                    tracked.id(), tracked.invocation().arrivedAt().plus(window).minus(now));
        }
        state.queue().add(tracked);
    }

    /** A keyed invocation whose entry could not be kept must not run. */
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

    /** Only idempotent ones are shed: the client of any other may not simply try again. */
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
