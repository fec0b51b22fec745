package ochretiller.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;

/**
 * Which queued invocation loses its place where one has to go: whoever has most in the queue for
 * its share of the service (tenant, else client) loses the one that would start last. A sender that
 * floods the queue so takes no place from the others.
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
     * Returns the eviction victim.
     *
     * @param candidates those that one may be chosen from, the one to start first in front; not
     *     empty
     * @param queued all that is queued, by which senders are compared
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
