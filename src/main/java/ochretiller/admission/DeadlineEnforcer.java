package ochretiller.admission;

import static ochretiller.time.Durations.isAfter;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.Optional;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.server.ServerActions;

/**
 * Answers invocations that would otherwise be answered too late: before the client's deadline,
 * before the process is killed, and earlier if a result would be useless. Enforces exactly one
 * answer per invocation, also while draining. A run in progress does not delay the answer.
 */
final class DeadlineEnforcer {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final OverloadDetector overload;
    private final AdmissionGate gate;
    private final Responder responder;

    /** The check that the latest timer was set for; empty if no timer is needed. */
    private Optional<Duration> timerAt = Optional.empty();

    DeadlineEnforcer(
            AdmissionState state,
            CapacityLimits limits,
            OverloadDetector overload,
            AdmissionGate gate,
            Responder responder) {
        this.state = state;
        this.limits = limits;
        this.overload = overload;
        this.gate = gate;
        this.responder = responder;
    }

    /** Schedules the deadline checks of an invocation that was just read, if it is still open. */
    void scheduleChecks(ServerActions server, TrackedInvocation tracked) {
        if (!state.registry().contains(tracked)) {
            return;
        }
        DeadlineQueue checks = state.registry().deadlines();
        checks.add(tracked, tracked.completionDeadline());
        checks.add(tracked, lastAnswerAt(tracked.invocation().deadline()));
        setTimer(server);
    }

    /** Sets a timer for the next check, unless there is one that fires no later. */
    private void setTimer(ServerActions server) {
        Optional<Duration> next = state.registry().deadlines().nextAt();
        boolean isSet =
                timerAt.isPresent() && next.isPresent() && !isAfter(timerAt.get(), next.get());
        if (next.isEmpty() || isSet) {
            return;
        }
        timerAt = next;
        Duration at = next.get();
        server.schedule(timeUntil(at, server.now()), gauges -> host -> onTimer(host, at));
    }

    private void onTimer(ServerActions server, Duration at) {
        if (timerAt.equals(Optional.of(at))) {
            timerAt = Optional.empty();
        }
        try {
            enforceDue(server);
        } finally {
            setTimer(server); // one failed check must not be the last one
        }
    }

    private void enforceDue(ServerActions server) {
        DeadlineQueue checks = state.registry().deadlines();
        for (Optional<TrackedInvocation> due = checks.pollDue(server.now());
                due.isPresent();
                due = checks.pollDue(server.now())) {
            enforce(server, due.get());
        }
    }

    /** Checks all open invocations, in the order in which they were read. */
    void enforceAll(ServerActions server) {
        for (TrackedInvocation tracked : state.registry().snapshot()) {
            enforce(server, tracked);
        }
    }

    /** Answers one invocation if its answer is due or its result would come too late. */
    private void enforce(ServerActions server, TrackedInvocation tracked) {
        if (tracked.isAnswered() || !state.registry().contains(tracked)) {
            return;
        }
        Duration now = server.now();
        Duration end = min(tracked.invocation().deadline(), limits.drain().killAt());
        boolean isDue = now.compareTo(lastAnswerAt(end)) >= 0;
        if (isWaitingToStart(tracked) && (isDue || cannotStartInTime(tracked, now))) {
            state.queue().remove(tracked);
            tracked.stopAwaiting();
            gate.reject(server, tracked, false);
        } else if (isDue) {
            failAtDeadline(server, tracked);
        } else if (isNotWorthFinishing(tracked, now)
                && (tracked.isRunning() || limits.calls().remove(tracked))) {
            responder.rejectStarted(server, tracked);
        }
    }

    private static Duration lastAnswerAt(Duration deadline) {
        return deadline.minus(AdmissionTiming.ANSWER_MARGIN);
    }

    /**
     * Returns whether neither the invocation nor the attempt that it waits for has ever started. A
     * rejection tells the client that nothing was executed, so it is correct only then.
     */
    private boolean isWaitingToStart(TrackedInvocation tracked) {
        if (tracked.isQueued()) {
            return true;
        }
        return tracked.isAwaitingOriginal()
                && tracked.awaitedEntry()
                        .filter(awaited -> awaited.hasState(State.PENDING))
                        .isPresent();
    }

    /** Returns whether this server stalls or drains, while another may start it in time. */
    private boolean cannotStartInTime(TrackedInvocation tracked, Duration now) {
        boolean isStalled =
                overload.isStalled()
                        && tracked.site().isLocal()
                        && tracked.operation().isIdempotent();
        return isStalled || limits.drain().forbids(tracked.invocation(), now);
    }

    private void failAtDeadline(ServerActions server, TrackedInvocation tracked) {
        // Includes a retry whose original attempt has started, which must not be rejected.
        tracked.stopAwaiting();
        responder.fail(server, tracked);
        if (tracked.isRunning()) {
            limits.cancellation().cancel(server, tracked);
        }
    }

    /**
     * Returns whether a run cannot end by its completion deadline, has no value after it, may be
     * cancelled, and occupies a slot that other invocations wait for.
     */
    private boolean isNotWorthFinishing(TrackedInvocation tracked, Duration now) {
        Duration earliestEnd =
                tracked.isAwaitingCall() ? now.plus(limits.calls().meanDuration(now)) : now;
        return tracked.isStarted()
                && tracked.operation().lateValueShare() == 0
                && limits.cancellation().allows(tracked)
                && state.queue().hasQueuedFor(tracked.site())
                && tracked.isPastCompletionDeadline(earliestEnd);
    }
}
