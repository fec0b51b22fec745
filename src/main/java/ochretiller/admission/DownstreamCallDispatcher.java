package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import ochretiller.model.CallOutcome;
import ochretiller.model.InvocationId;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/**
 * Makes the downstream calls of runs as {@link DownstreamCallLimiter} permits them, and decides how
 * a run continues afterwards. Enforces at-most-once effects: a call is made again only after an
 * outcome that proves that it was not executed.
 */
final class DownstreamCallDispatcher {
    private final InvocationRegistry registry;
    private final DownstreamCallLimiter limiter;
    private final OverloadDetector overload;
    private final Responder responder;
    private final Function<InvocationId, Action> retryCall;

    /**
     * Creates a dispatcher.
     *
     * @param retryCall requests a call again that was not executed
     */
    DownstreamCallDispatcher(
            InvocationRegistry registry,
            DownstreamCallLimiter limiter,
            OverloadDetector overload,
            Responder responder,
            Function<InvocationId, Action> retryCall) {
        this.registry = registry;
        this.limiter = limiter;
        this.overload = overload;
        this.responder = responder;
        this.retryCall = retryCall;
    }

    /**
     * Queues the call that a run needs. Returns whether the run now waits for it: a run whose
     * client was already answered makes no more calls.
     */
    boolean enqueue(ServerActions server, InvocationId id) {
        Optional<TrackedInvocation> found = registry.find(id);
        if (found.isEmpty() || found.get().isAnswered()) {
            return false;
        }
        Duration now = server.now();
        overload.onProgress(now);
        found.get().awaitCall(now);
        limiter.enqueue(found.get());
        return true;
    }

    /** Makes all queued calls that may be made now. */
    void dispatchCalls(ServerActions server) {
        Duration now = server.now();
        Optional<DownstreamCallLimiter.PermittedCall> next = limiter.startNext(now);
        while (next.isPresent()) {
            TrackedInvocation caller = next.get().caller();
            server.startCall(
                    caller.id(), next.get().timeout(), outcome -> onCallEnded(caller, outcome));
            next = limiter.startNext(now);
        }
    }

    private Action onCallEnded(TrackedInvocation caller, CallOutcome outcome) {
        return server -> {
            Duration now = server.now();
            CallOutcome.Status status = outcome.status();
            limiter.onCallEnded(caller, now, status == CallOutcome.Status.TIMED_OUT);
            if (status == CallOutcome.Status.SUCCEEDED) {
                caller.resumeAfterCall(now);
            } else if (status.isSafeToRetry()) {
                caller.stayBlocked();
                server.schedule(
                        AdmissionTiming.TICK_INTERVAL, gauges -> retryCall.apply(caller.id()));
            } else {
                continueAfterFailedCall(server, caller);
            }
            dispatchCalls(server);
        };
    }

    private void continueAfterFailedCall(ServerActions server, TrackedInvocation caller) {
        boolean isUsefulWithoutCall = caller.operation().degradedValueShare() > 0;
        if (isUsefulWithoutCall && !caller.isAnswered()) {
            caller.resumeWithoutCall();
            server.skipCall(caller.id());
            return;
        }
        caller.stayBlocked();
        if (!caller.isAnswered()) {
            responder.fail(server, caller);
        }
    }
}
