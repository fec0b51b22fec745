package ochretiller.admission;

import java.time.Duration;
import ochretiller.server.ServerActions;

/**
 * Gives the final answers that are not results: rejections, with word when to come back, and
 * errors. Stands for the rule "nothing lost": whoever is answered here is marked as answered, and
 * is forgotten unless its run goes on.
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
     * @param isFinal whether no other server could be in time for it either
     */
    void reject(ServerActions server, TrackedInvocation tracked, boolean isFinal) {
        Duration now = server.now();
        boolean isRetry = tracked.invocation().isRetry();
        Duration retryAfter =
                limits.drain().isGraceOver(now)
                        ? signals.retryAfter().longest()
                        : drawRetryAfter(server, tracked);
        boolean staysHere =
                !limits.drain().isDraining()
                        && (isFinal || signals.retryElsewhere().drawFleetIsFull(now, isRetry));
        server.throttle(tracked.id(), retryAfter, staysHere);
        signals.retryElsewhere().onRejected(now);
        tracked.markAnswered();
        registry.close(tracked);
    }

    /** Answers an idempotent run that is past its objective as rejected, and cancels it. */
    void rejectStarted(ServerActions server, TrackedInvocation tracked) {
        tracked.markAnswered();
        server.throttle(tracked.id(), drawRetryAfter(server, tracked), true);
        limits.cancellation().cancel(server, tracked);
    }

    /** Answers with an error. A run that was started goes on. */
    void fail(ServerActions server, TrackedInvocation tracked) {
        server.fail(tracked.id());
        tracked.markAnswered();
        if (tracked.isAwaitingCall()) {
            limits.calls().remove(tracked);
        }
        if (!tracked.isStarted()) {
            registry.close(tracked);
        }
    }

    /** Returns the time until a newcomer for the site would start. */
    Duration expectedWait(ServerActions server, ExecutionSite site) {
        SiteLoad load = limits.slots().load(server, site);
        // A pool without workers takes nothing, but a wait has to be named all the same.
        SiteLoad atLeastOneSlot = new SiteLoad(site, Math.max(1, load.limit()), load.running());
        return queue.expectedWait(atLeastOneSlot, server.now());
    }

    private Duration drawRetryAfter(ServerActions server, TrackedInvocation tracked) {
        Duration wait = expectedWait(server, tracked.site());
        return signals.retryAfter().draw(wait.plus(signals.overload().readDelay()));
    }
}
