package ochretiller.admission;

import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.server.ServerActions;

/**
 * Answers what is not answered by itself in time: before the client's deadline, before the process
 * is killed, and earlier where an answer is of no use any more. Stands for the rules "nothing lost"
 * and "safe drain". Work that still runs is no reason to answer late.
 */
final class DeadlineEnforcer {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final OverloadDetector overload;
    private final AdmissionGate gate;
    private final Responder responder;

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

    /** Sets the timers of an invocation that was just read. */
    void scheduleTimers(ServerActions server, TrackedInvocation tracked) {
        scheduleCheck(server, tracked, tracked.completionDeadline());
        scheduleCheck(server, tracked, lastAnswerAt(tracked.invocation().deadline()));
    }

    private void scheduleCheck(ServerActions server, TrackedInvocation tracked, Duration at) {
        server.schedule(timeUntil(at, server.now()), gauges -> then -> enforce(then, tracked));
    }

    /** Looks at all open invocations, the one read first in front. */
    void enforceAll(ServerActions server) {
        for (TrackedInvocation tracked : state.registry().snapshot()) {
            enforce(server, tracked);
        }
    }

    /** Answers one invocation if it is time to. */
    private void enforce(ServerActions server, TrackedInvocation tracked) {
        if (tracked.isAnswered() || !state.registry().isOpen(tracked)) {
            return;
        }
        Duration now = server.now();
        Duration end = min(tracked.invocation().deadline(), limits.drain().killAt());
        boolean isDue = now.compareTo(lastAnswerAt(end)) >= 0;
        if (isWaitingToStart(tracked) && (isDue || isHopeless(tracked, now))) {
            state.queue().remove(tracked);
            state.idempotency().stopWaiting(tracked);
            gate.reject(server, tracked, false);
        } else if (isDue) {
            failDue(server, tracked);
        } else if (isWorthlessToFinish(tracked, now)
                && (tracked.isRunning() || limits.calls().remove(tracked))) {
            responder.rejectStarted(server, tracked);
        }
    }

    private static Duration lastAnswerAt(Duration deadline) {
        return deadline.minus(AdmissionTiming.ANSWER_MARGIN);
    }

    /**
     * Returns whether an invocation has never run and does not wait for an attempt that has: only
     * then a rejection, which says that nothing was done, is true.
     */
    private boolean isWaitingToStart(TrackedInvocation tracked) {
        if (tracked.isQueued()) {
            return true;
        }
        return tracked.isAwaitingOriginal()
                && state.idempotency()
                        .findOriginal(tracked)
                        .filter(original -> original.isIn(State.PENDING))
                        .isPresent();
    }

    /** A server that stalls or drains does not start it in time, while another still may. */
    private boolean isHopeless(TrackedInvocation tracked, Duration now) {
        boolean isStalled =
                overload.isStalled()
                        && tracked.site().isLocal()
                        && tracked.operation().isIdempotent();
        return isStalled || limits.drain().forbids(tracked.invocation(), now);
    }

    private void failDue(ServerActions server, TrackedInvocation tracked) {
        // Also a retry whose original attempt has started: to reject it would be untrue.
        state.idempotency().stopWaiting(tracked);
        responder.fail(server, tracked);
        if (tracked.isRunning()) {
            limits.cancellation().cancel(server, tracked);
        }
    }

    /**
     * Returns whether a run cannot end by its completion deadline, earns nothing later, may be
     * cancelled, and others wait for its slot.
     */
    private boolean isWorthlessToFinish(TrackedInvocation tracked, Duration now) {
        Duration earliestEnd =
                tracked.isAwaitingCall() ? now.plus(limits.calls().meanDuration(now)) : now;
        return tracked.isStarted()
                && tracked.operation().lateValueShare() == 0
                && limits.cancellation().allows(tracked)
                && state.queue().isAnyQueuedFor(tracked.site())
                && tracked.isPastCompletionDeadline(earliestEnd);
    }
}
