package ochretiller.admission;

import java.time.Duration;
import ochretiller.server.ServerActions;

/**
 * Sends the final answers that are not results: rejections, with a Retry-After, and errors. An
 * invocation that is answered here is marked as such, and closed unless its run continues.
 */
final class Responder {
    private final InvocationRegistry registry;
    private final AdmissionQueue queue;
    private final CapacityLimits limits;
    private final LoadSignals signals;

    Responder(AdmissionState state, CapacityLimits limits, LoadSignals signals) {
        this.registry = state.registry();
        this.queue = state.queue();
        this.limits = limits;
        this.signals = signals;
    }

    /**
     * Rejects an invocation that never ran.
     *
     * @param isFinal whether no other server could answer it in time either
     */
    void reject(ServerActions server, TrackedInvocation tracked, boolean isFinal) {
        Duration now = server.now();
        boolean isRetry = tracked.invocation().isRetry();
        Duration retryAfter =
                limits.drain().isGraceOver(now)
                        ? signals.retryAfter().maxDelay()
                        : randomRetryAfter(server, tracked);
        boolean avoidOtherServers =
                !limits.drain().isDraining()
                        && (isFinal || signals.retryElsewhere().isFleetAssumedFull(now, isRetry));
        server.throttle(tracked.id(), retryAfter, avoidOtherServers);
        signals.retryElsewhere().onRejected(now);
        tracked.markAnswered();
        registry.remove(tracked);
    }

    /** Rejects an idempotent run that cannot meet its objective, and cancels it. */
    void rejectStarted(ServerActions server, TrackedInvocation tracked) {
        tracked.markAnswered();
        server.throttle(tracked.id(), randomRetryAfter(server, tracked), true);
        limits.cancellation().cancel(server, tracked);
    }

    /** Answers with an error. A run that was started continues. */
    void fail(ServerActions server, TrackedInvocation tracked) {
        server.fail(tracked.id());
        tracked.markAnswered();
        if (tracked.isAwaitingCall()) {
            limits.calls().remove(tracked);
        }
        if (!tracked.isStarted()) {
            registry.remove(tracked);
        }
    }

    /** Returns the expected time until an invocation queued now for the site would start. */
    Duration expectedWait(ServerActions server, ExecutionSite site) {
        SiteLoad load = limits.slots().load(server, site);
        // A pool without workers has no slots, but clients still need a finite wait.
        SiteLoad atLeastOneSlot = new SiteLoad(site, Math.max(1, load.limit()), load.running());
        return queue.expectedWait(atLeastOneSlot, server.now());
    }

    private Duration randomRetryAfter(ServerActions server, TrackedInvocation tracked) {
        Duration wait = expectedWait(server, tracked.site());
        return signals.retryAfter().randomDelay(wait.plus(signals.overload().readDelay()));
    }
}
