package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;
import ochretiller.server.ServerActions;

/**
 * Settles a run that is over: its slot is free, what it cost is learned, its idempotency entry
 * tells how it ended, and the retries that waited for it are decided on.
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

    /** Settles a run that was started by {@link Dispatcher}. */
    void settle(ServerActions server, TrackedInvocation tracked, RunOutcome outcome) {
        Duration now = server.now();
        if (tracked.site().isLocal()) {
            overload.onProgress(now); // an end in a worker pool is no progress of the cores
        }
        if (tracked.isCalling()) {
            limits.calls().onCallEnded(tracked, now, true);
        }
        limits.calls().remove(tracked);
        state.registry().close(tracked);
        if (outcome.status() == RunOutcome.Status.SUCCEEDED) {
            learn(tracked, outcome, now);
        }
        Optional<IdempotencyEntry> entry =
                state.idempotency().update(tracked.id(), entryState(outcome.status()));
        if (hasNotRun(outcome.status())) {
            settleUnrun(server, tracked, outcome.status());
        }
        entry.ifPresent(original -> gate.releaseWaitingRetries(server, original));
    }

    /** Settles a run of a previous process; one without a result may have had its effect. */
    void settleRestored(ServerActions server, InvocationId id, RunOutcome.Status status) {
        boolean hasResult = status == RunOutcome.Status.SUCCEEDED;
        state.idempotency()
                .update(id, hasResult ? State.SUCCEEDED : State.INDETERMINATE)
                .ifPresent(original -> gate.releaseWaitingRetries(server, original));
    }

    private void learn(TrackedInvocation tracked, RunOutcome outcome, Duration now) {
        if (tracked.site().isLocal()) {
            limits.concurrency().onRunSucceeded();
        }
        Duration onCores = outcome.elapsed().minus(tracked.timeAtCalls());
        state.costs().onRunSucceeded(tracked, onCores, now);
    }

    /** A run that is proven not to have begun is rejected, and its retries may take its place. */
    private void settleUnrun(
            ServerActions server, TrackedInvocation tracked, RunOutcome.Status status) {
        if (status == RunOutcome.Status.NOT_DISPATCHED && !tracked.isAnswered()) {
            gate.reject(server, tracked, false);
        } else {
            // The host refused it, as when a client used another's key: its entry must not stand in
            // the way of the rightful one.
            gate.discardEntry(server, tracked);
        }
    }

    private static boolean hasNotRun(RunOutcome.Status status) {
        return status == RunOutcome.Status.NEVER_STARTED
                || status == RunOutcome.Status.NOT_DISPATCHED;
    }

    private static State entryState(RunOutcome.Status status) {
        if (status == RunOutcome.Status.SUCCEEDED) {
            return State.SUCCEEDED;
        }
        return hasNotRun(status) ? State.PENDING : State.INDETERMINATE;
    }
}
