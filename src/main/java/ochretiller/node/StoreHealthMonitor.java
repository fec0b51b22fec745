package ochretiller.node;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.idempotency.durable.DiskHealth;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.net.Scheduler;
import ochretiller.store.Store;

/**
 * Monitors the store's disk: reports its health to the durability policy, logs changes, probes an
 * unavailable disk, and repeats the deferred writes when the disk is available again. Event loop
 * thread only.
 */
final class StoreHealthMonitor {
    private static final Logger LOG = Logger.getLogger(StoreHealthMonitor.class.getName());

    /** Time between checks: a fifth of the shortest stall worth reporting. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final Store store;
    private final DurabilityPolicy policy;
    private final DeferredWrites deferredWrites;
    private final DurabilityMetrics metrics;
    private DiskHealth lastReported = DiskHealth.HEALTHY;

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

    /** Checks the store, and schedules the next check. */
    void start() {
        scheduler.runAfter(CHECK_INTERVAL, this::start);
        Duration now = scheduler.now();
        boolean wasUnavailable = policy.diskHealth(now) == DiskHealth.UNAVAILABLE;
        policy.storeStatusChanged(store.stats().isHealthy(), store.hasCapacityForNewKey(), now);
        metrics.setOldestAppendAge(policy.oldestAppendAge(now));
        DiskHealth health = policy.diskHealth(now);
        if (health != lastReported) {
            report(health);
        }
        if (wasUnavailable && health != DiskHealth.UNAVAILABLE) {
            deferredWrites.executeAll();
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
        if (lastReported == DiskHealth.HEALTHY) {
            metrics.diskStalls.add();
        }
        String cause =
                health == DiskHealth.UNAVAILABLE ? ": " + store.stats().fault().orElse("") : "";
        String consequence =
                health == DiskHealth.HEALTHY ? " again" : "; new keyed invocations are throttled";
        LOG.warning("the store's disk is " + health.externalName() + cause + consequence);
        lastReported = health;
    }
}
