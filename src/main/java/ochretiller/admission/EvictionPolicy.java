package ochretiller.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;

/**
 * Chooses which queued invocation to evict: the sender (tenant, else client) with the most queued
 * invocations relative to its share of the service loses the one that would start last. A sender
 * that floods the queue thus displaces no other sender.
 */
final class EvictionPolicy {
    /** Share of a sender that is not a configured tenant. */
    private static final double DEFAULT_SHARE = 1;

    private final Map<TenantId, Tenant> tenants = new HashMap<>();

    EvictionPolicy(List<Tenant> tenants) {
        for (Tenant tenant : tenants) {
            this.tenants.put(tenant.id(), tenant);
        }
    }

    /**
     * Returns the invocation to evict.
     *
     * @param candidates invocations to choose from, in starting order; not empty
     * @param queued all queued invocations, from which the usage of each sender is counted
     */
    TrackedInvocation chooseVictim(
            List<TrackedInvocation> candidates, Collection<TrackedInvocation> queued) {
        Map<Object, Double> usage = new HashMap<>();
        for (TrackedInvocation tracked : queued) {
            usage.merge(sender(tracked), 1 / share(tracked), Double::sum);
        }
        TrackedInvocation victim = candidates.get(0);
        for (TrackedInvocation candidate : candidates) {
            if (usage.get(sender(candidate)) >= usage.get(sender(victim))) {
                victim = candidate;
            }
        }
        return victim;
    }

    private double share(TrackedInvocation tracked) {
        Tenant tenant = tenants.get(tracked.invocation().tenant());
        return tenant == null ? DEFAULT_SHARE : tenant.serviceShare();
    }

    private static Object sender(TrackedInvocation tracked) {
        TenantId tenant = tracked.invocation().tenant();
        return tenant != null ? tenant : tracked.invocation().client();
    }
}
