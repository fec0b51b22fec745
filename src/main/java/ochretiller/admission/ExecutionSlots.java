package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import ochretiller.server.ServerActions;

/** The slots of each execution site: how many there are, and what occupies them. */
final class ExecutionSlots {
    private final ConcurrencyLimiter limiter;
    private final InvocationRegistry registry;

    ExecutionSlots(ConcurrencyLimiter limiter, InvocationRegistry registry) {
        this.limiter = limiter;
        this.registry = registry;
    }

    /** Returns the slots of a site as they are now; none for a pool without any worker. */
    SiteLoad load(ServerActions server, ExecutionSite site) {
        int limit =
                site.isLocal()
                        ? limiter.currentLimit(server.now())
                        : server.poolCapacity(site.poolName());
        return new SiteLoad(site, limit, running(site));
    }

    /** Returns how many more runs the local cores take; negative where the limit has fallen. */
    int freeOnCores(Duration now) {
        return limiter.currentLimit(now) - runningOnCores().size();
    }

    /** Returns what runs on the local cores. */
    List<TrackedInvocation> runningOnCores() {
        return running(ExecutionSite.LOCAL_CORES);
    }

    private List<TrackedInvocation> running(ExecutionSite site) {
        return registry.runningAt(site);
    }
}
