package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ochretiller.model.Invocation;
import ochretiller.model.Tenant;
import ochretiller.model.TenantId;
import ochretiller.time.SlidingWindow;

/**
 * Compares what each tenant sent to this server over the last ten seconds with its quota. A quota
 * covers the whole fleet; this server allows an even part of it, plus one standard deviation of
 * random arrivals. Invocations over quota are not rejected but get a lower weight.
 */
final class QuotaTracker {
    /** Weight of invocations within the quota, and of tenants without one. */
    private static final double FULL_WEIGHT = 1;

    /** Tolerance over the quota, in standard deviations of a Poisson arrival process. */
    private static final double TOLERATED_DEVIATIONS = 1;

    /** Uptime until which no invocation counts as over quota, seconds. */
    private static final double MIN_PERIOD_S = 1;

    private final Map<TenantId, Tenant> tenants = new HashMap<>();
    private final Map<TenantId, SlidingWindow> sent = new HashMap<>();
    private final int servers;
    private final double overQuotaWeight;

    /**
     * Creates a tracker without counts.
     *
     * @param tenants tenants with their quotas
     * @param servers servers of the fleet, among which a quota is divided evenly
     * @param overQuotaWeight weight of invocations over quota, 0 to 1
     */
    QuotaTracker(List<Tenant> tenants, int servers, double overQuotaWeight) {
        for (Tenant tenant : tenants) {
            this.tenants.put(tenant.id(), tenant);
        }
        this.servers = servers;
        this.overQuotaWeight = overQuotaWeight;
    }

    /** Counts an invocation that was read, and returns the factor on its billed value. */
    double priorityWeight(Invocation invocation, Duration now) {
        Tenant tenant = tenants.get(invocation.tenant());
        if (tenant == null) {
            return FULL_WEIGHT;
        }
        SlidingWindow window =
                sent.computeIfAbsent(tenant.id(), unseen -> MeasurementWindows.longWindow());
        double period =
                Math.min(
                        inSeconds(now),
                        inSeconds(MeasurementWindows.BUCKET)
                                * MeasurementWindows.LONG_WINDOW_BUCKETS);
        double quota = tenant.quotaPerSecond() / Math.max(1, servers) * period;
        double tolerated = quota + TOLERATED_DEVIATIONS * Math.sqrt(quota);
        if (period > MIN_PERIOD_S && window.sum(now) > tolerated) {
            return overQuotaWeight;
        }
        // A marked retry was counted by the server that read the first attempt.
        window.add(now, invocation.isRetry() ? 0 : 1, 1);
        return FULL_WEIGHT;
    }
}
