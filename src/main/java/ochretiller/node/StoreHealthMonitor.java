package ochretiller.node;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.idempotency.durable.DiskHealth;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.net.Scheduler;
import ochretiller.store.Store;

/**
 * Watches the store's disk: reports its health to the durability policy, logs changes, probes a
 * disk that is unavailable, and has deferred writes made once it is available again. Event loop
 * thread only.
 */
final class StoreHealthMonitor {
    private static final Logger LOG = Logger.getLogger(StoreHealthMonitor.class.getName());

    /** A fifth of the shortest stall that is worth reporting. */
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final Store store;
    private final DurabilityPolicy policy;
    private final DeferredWrites deferredWrites;
    private final DurabilityMetrics metrics;
    private DiskHealth reported = DiskHealth.HEALTHY;

    StoreHealthMonitor(
            Scheduler scheduler,
            Store store,
            DurabilityPolicy policy,
            DeferredWrites deferredWrites,
            DurabilityMetrics metrics) {
        this.scheduler = scheduler;
        this.store = store;
        this.policy = policy;
        this.deferredWrites = deferredWrites;
        this.metrics = metrics;
    }

    /** Checks the store, and again after each interval. */
    void start() {
        scheduler.after(INTERVAL, this::start);
        Duration now = scheduler.now();
        boolean wasUnavailable = policy.diskHealth(now) == DiskHealth.UNAVAILABLE;
        policy.storeStatusChanged(store.stats().isHealthy(), store.hasRoomForNewKey(), now);
        metrics.setOldestAppendAge(policy.oldestAppendAge(now));
        DiskHealth health = policy.diskHealth(now);
        if (health != reported) {
            report(health);
        }
        if (wasUnavailable && health != DiskHealth.UNAVAILABLE) {
            deferredWrites.makeAll();
        }
        if (policy.startProbeIfDue(now)) {
            store.probe(this::onProbed);
        }
    }

    private void onProbed(boolean healthy) {
        if (!healthy) {
            policy.probeFailed(scheduler.now());
        }
    }

    private void report(DiskHealth health) {
        if (reported == DiskHealth.HEALTHY) {
            metrics.stalls.add();
        }
        String fault =
                health == DiskHealth.UNAVAILABLE ? ": " + store.stats().fault().orElse("") : "";
        String consequence =
                health == DiskHealth.HEALTHY ? " again" : "; new keyed work is throttled";
        LOG.warning("the store's disk is " + health.externalName() + fault + consequence);
        reported = health;
    }
}
