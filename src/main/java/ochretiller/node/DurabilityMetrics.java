package ochretiller.node;

import java.time.Duration;
import ochretiller.metrics.Metrics;
import ochretiller.store.Store;

/**
 * The metrics of durable idempotency. They are updated on the event loop thread and may be read on
 * any thread.
 */
final class DurabilityMetrics {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    final Metrics.Counter throttledInvocations;
    final Metrics.Counter earlyAnswers;
    final Metrics.Counter diskStalls;
    final Metrics.Counter lostWrites;
    final Metrics.Counter replaysFromDisk;
    private volatile double unknownOutcomes;
    private volatile double oldestAppendSeconds;

    /**
     * Registers the metrics.
     *
     * @param recoverySeconds duration of reading the store at startup
     */
    DurabilityMetrics(Metrics metrics, Store store, double recoverySeconds) {
        throttledInvocations =
                metrics.counter(
                        "ochretiller_remember_unmarked_total",
                        "Keyed invocations that were not begun since their mark was not durable in"
                                + " time");
        earlyAnswers =
                metrics.counter(
                        "ochretiller_remember_answered_early_total",
                        "Results that were answered before they were durable; their marks stand");
        diskStalls =
                metrics.counter(
                        "ochretiller_remember_stalls_total",
                        "Times that the disk came to count as stalled or sick");
        lostWrites =
                metrics.counter(
                        "ochretiller_remember_writes_lost_total",
                        "Ends that a sick disk did not take and that found no room to wait for it;"
                                + " their marks stand");
        replaysFromDisk =
                metrics.counter(
                        "ochretiller_remember_read_back_total",
                        "Replays whose result came from the disk");
        metrics.gauge(
                "ochretiller_remember_in_doubt",
                "Marks of a former process whose end is unknown",
                () -> unknownOutcomes);
        metrics.gauge(
                "ochretiller_remember_oldest_append_seconds",
                "Age of the append that waits longest",
                () -> oldestAppendSeconds);
        metrics.gauge(
                "ochretiller_remember_recovery_seconds",
                "Time that the start took to read the store",
                () -> recoverySeconds);
        registerStoreSize(metrics, store);
        registerStoreActivity(metrics, store);
    }

    private static void registerStoreSize(Metrics metrics, Store store) {
        metrics.gauge(
                "ochretiller_store_entries", "Keys that are kept", () -> store.stats().entries());
        metrics.gauge(
                "ochretiller_store_bytes",
                "Bytes of the store's segments",
                () -> store.stats().bytes());
        metrics.gauge(
                "ochretiller_store_index_bytes",
                "Memory of the store's index, as reckoned",
                () -> store.stats().indexBytes());
        metrics.gauge(
                "ochretiller_store_segments", "Files of records", () -> store.stats().segments());
        metrics.gauge(
                "ochretiller_store_oldest_seconds",
                "Age of the oldest file of records",
                () -> oldestSegmentSeconds(store));
        metrics.gauge(
                "ochretiller_store_largest_group",
                "Most records that went out with one force",
                () -> store.stats().largestGroupCommit());
        metrics.gauge(
                "ochretiller_store_well",
                "1 while the disk is well",
                () -> store.stats().isHealthy() ? 1 : 0);
    }

    private static double oldestSegmentSeconds(Store store) {
        return store.stats().segments() == 0
                ? 0
                : (store.nowMillis() - store.stats().oldestSegmentMillis()) / MILLIS_PER_SECOND;
    }

    private static void registerStoreActivity(Metrics metrics, Store store) {
        metrics.counterWithCallback(
                "ochretiller_store_forces_total",
                "Forces of the disk",
                () -> store.stats().forces());
        metrics.counterWithCallback(
                "ochretiller_store_records_total",
                "Records appended",
                () -> store.stats().appendedRecords());
        metrics.counterWithCallback(
                "ochretiller_store_appended_bytes_total",
                "Bytes appended",
                () -> store.stats().appendedBytes());
        metrics.counterWithCallback(
                "ochretiller_store_copied_bytes_total",
                "Bytes copied by compaction",
                () -> store.stats().compactedBytes());
        metrics.counterWithCallback(
                "ochretiller_store_dropped_segments_total",
                "Files that were past their time",
                () -> store.stats().expiredSegments());
        metrics.counterWithCallback(
                "ochretiller_store_failures_total",
                "Failures of the disk",
                () -> store.stats().diskFailures());
    }

    /** Sets the number of previous runs whose outcome is unknown. */
    void setUnknownOutcomes(long count) {
        unknownOutcomes = count;
    }

    /** Decrements the number of previous runs whose outcome is unknown. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // only the event loop thread writes it
    void decrementUnknownOutcomes() {
        unknownOutcomes--;
    }

    void setOldestAppendAge(Duration age) {
        oldestAppendSeconds = age.toNanos() / NANOS_PER_SECOND;
    }
}
