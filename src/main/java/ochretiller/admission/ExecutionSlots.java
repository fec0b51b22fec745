package ochretiller.admission;

import java.time.Duration;
import java.util.List;
import ochretiller.server.ServerActions;

/** The slots of each execution site: their number, and the runs that occupy them. */
final class ExecutionSlots {
    private final ConcurrencyLimiter limiter;
    private final InvocationRegistry registry;

    ExecutionSlots(ConcurrencyLimiter limiter, InvocationRegistry registry) {
        this.limiter = limiter;
        this.registry = registry;
    }

    /** Returns the current slots of a site; the limit is zero for a pool without workers. */
    SiteLoad load(ServerActions server, ExecutionSite site) {
        int limit =
                site.isLocal()
                        ? limiter.currentLimit(server.now())
                        : server.poolCapacity(site.poolName());
        return new SiteLoad(site, limit, running(site));
    }

    /** Returns how many more runs may use the local cores; negative after the limit fell. */
    int freeOnCores(Duration now) {
        return limiter.currentLimit(now) - runningOnCores().size();
    }

    /** Returns the runs that occupy the local cores. */
    List<TrackedInvocation> runningOnCores() {
        return running(ExecutionSite.LOCAL_CORES);
    }

    private List<TrackedInvocation> running(ExecutionSite site) {
        return registry.runningAt(site);
    }
}
