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
 * a run goes on afterwards. Stands for the rule "no effect twice": a call is made again only after
 * an outcome that proves that it never ran.
 */
final class DownstreamCallDispatcher {
    private final InvocationRegistry registry;
    private final DownstreamCallLimiter limiter;
    private final OverloadDetector overload;
    private final Responder responder;
    private final Function<InvocationId, Action> requestAgain;

    /**
     * Creates a dispatcher.
     *
     * @param requestAgain what is done once a call that never ran is to be tried again
     */
    DownstreamCallDispatcher(
            InvocationRegistry registry,
            DownstreamCallLimiter limiter,
            OverloadDetector overload,
            Responder responder,
            Function<InvocationId, Action> requestAgain) {
        this.registry = registry;
        this.limiter = limiter;
        this.overload = overload;
        this.responder = responder;
        this.requestAgain = requestAgain;
    }

    /**
     * Queues the call that a run needs. Returns whether the run waits for it now: one that was
     * answered meanwhile makes no call any more.
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

    /** Makes the calls that may be made now. */
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
                        AdmissionTiming.TICK_INTERVAL, gauges -> requestAgain.apply(caller.id()));
            } else {
                goOnAfterFailedCall(server, caller);
            }
            dispatchCalls(server);
        };
    }

    private void goOnAfterFailedCall(ServerActions server, TrackedInvocation caller) {
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
