package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;
import ochretiller.server.ServerActions;

/**
 * Handles the end of a run: frees its slot, records its cost, updates its idempotency entry, and
 * decides on the retries that waited for it.
 */
final class RunOutcomeHandler {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final OverloadDetector overload;
    private final AdmissionGate gate;

    RunOutcomeHandler(
            AdmissionState state,
            CapacityLimits limits,
            OverloadDetector overload,
            AdmissionGate gate) {
        this.state = state;
        this.limits = limits;
        this.overload = overload;
        this.gate = gate;
    }

    /** Handles the end of a run that {@link Dispatcher} started. */
    void onRunEnded(ServerActions server, TrackedInvocation tracked, RunOutcome outcome) {
        Duration now = server.now();
        if (tracked.site().isLocal()) {
            overload.onProgress(now); // a worker pool's run is no progress on the cores
        }
        if (tracked.isCalling()) {
            limits.calls().onCallEnded(tracked, now, true);
        }
        limits.calls().remove(tracked);
        state.registry().remove(tracked);
        if (outcome.status() == RunOutcome.Status.SUCCEEDED) {
            recordSuccess(tracked, outcome, now);
        }
        Optional<IdempotencyEntry> entry =
                state.idempotency().update(tracked.id(), entryState(outcome.status()));
        if (wasNotExecuted(outcome.status())) {
            handleNotExecuted(server, tracked, outcome.status());
        }
        entry.ifPresent(original -> gate.releaseWaitingRetries(server, original));
    }

    /** Handles the end of a run of a previous process; without a result its effect is uncertain. */
    void onRestoredRunEnded(ServerActions server, InvocationId id, RunOutcome.Status status) {
        boolean hasResult = status == RunOutcome.Status.SUCCEEDED;
        state.idempotency()
                .update(id, hasResult ? State.SUCCEEDED : State.INDETERMINATE)
                .ifPresent(original -> gate.releaseWaitingRetries(server, original));
    }

    private void recordSuccess(TrackedInvocation tracked, RunOutcome outcome, Duration now) {
        if (tracked.site().isLocal()) {
            limits.concurrency().onRunSucceeded();
        }
        Duration onCores = outcome.elapsed().minus(tracked.timeInCalls());
        state.costs().onRunSucceeded(tracked, onCores, now);
    }

    /** Handles a run that was not executed; one of its retries may be admitted in its place. */
    private void handleNotExecuted(
            ServerActions server, TrackedInvocation tracked, RunOutcome.Status status) {
        if (status == RunOutcome.Status.NOT_DISPATCHED && !tracked.isAnswered()) {
            gate.reject(server, tracked, false);
        } else {
            // The host refused it, for example because a client used another client's key: its
            // entry must not block the owner of the key.
            gate.discardEntry(server, tracked);
        }
    }

    private static boolean wasNotExecuted(RunOutcome.Status status) {
        return status == RunOutcome.Status.NEVER_STARTED
                || status == RunOutcome.Status.NOT_DISPATCHED;
    }

    private static State entryState(RunOutcome.Status status) {
        if (status == RunOutcome.Status.SUCCEEDED) {
            return State.SUCCEEDED;
        }
        return wasNotExecuted(status) ? State.PENDING : State.INDETERMINATE;
    }
}
