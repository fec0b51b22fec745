package ochretiller.fleet.service;

import ochretiller.metrics.Metrics;

/**
 * Registers the metrics of replication. The event loop publishes all values as one immutable
 * object, so that metrics can be read from any thread.
 */
final class ReplicationMetrics {
    private final ClaimLatency claimLatency;
    private volatile ReplicationMetricValues current = ReplicationMetricValues.NONE;

    ReplicationMetrics(Metrics metrics, ClaimLatency claimLatency) {
        this.claimLatency = claimLatency;
        registerReplicaGauges(metrics);
        registerClaimGauges(metrics);
        registerMessageMetrics(metrics);
        registerAntiEntropyMetrics(metrics);
        registerRequestMetrics(metrics);
    }

    /** Publishes new values of all metrics. */
    void publish(ReplicationMetricValues next) {
        current = next;
    }

    private void registerReplicaGauges(Metrics metrics) {
        metrics.gauge(
                "fleet_epoch",
                "The epoch in force, as this server knows it",
                () -> current.epoch());
        metrics.gauge(
                "fleet_ranges_behind",
                "Ranges that this server keeps and does not have whole",
                () -> current.laggingRanges());
        metrics.gauge(
                "fleet_oldest_gap_seconds",
                "How long the range that has waited longest is not whole",
                () -> current.oldestLagSeconds());
        metrics.gauge(
                "fleet_entries",
                "Tokens that this server keeps for the fleet",
                () -> current.entries());
        metrics.gauge(
                "fleet_entries_bytes", "Bytes of those, as reckoned", () -> current.entryBytes());
    }

    private void registerClaimGauges(Metrics metrics) {
        metrics.gauge(
                "fleet_claim_p50_seconds",
                "Half of the last 1,024 granted claims had their majority within this",
                () -> claimLatency.percentileSeconds(50));
        metrics.gauge(
                "fleet_claim_p99_seconds",
                "Of those, 99 of 100",
                () -> claimLatency.percentileSeconds(99));
        metrics.gauge(
                "fleet_claim_limit", "Claims that may be under way", () -> current.claimLimit());
        metrics.gauge(
                "fleet_hints",
                "Ranges that have changed while a keeper of them is away, or is yet to be told so",
                () -> current.hints());
    }

    private void registerMessageMetrics(Metrics metrics) {
        metrics.gauge(
                "fleet_words_waiting",
                "A keeper's words that wait for the disk",
                () -> current.waitingMessages());
        metrics.counterWithCallback(
                "fleet_words_unsaid_total",
                "A keeper's words that were not said, since the disk did not take what they rest"
                        + " on",
                () -> current.droppedMessages());
        metrics.counterWithCallback(
                "fleet_conflicts_total",
                "Tokens with two ends, which must not be",
                () -> current.conflicts());
    }

    private void registerAntiEntropyMetrics(Metrics metrics) {
        metrics.counterWithCallback(
                "fleet_repair_fetched_bytes_total",
                "Bytes of entries fetched from other keepers, as reckoned",
                () -> current.fetchedBytes());
        metrics.counterWithCallback(
                "fleet_repair_sent_bytes_total",
                "Bytes of entries sent to other keepers, as reckoned",
                () -> current.sentBytes());
        metrics.counterWithCallback(
                "fleet_compares_total",
                "Ranges compared with another keeper",
                () -> current.comparisons());
        metrics.counterWithCallback(
                "fleet_compares_differed_total",
                "Ranges that another keeper had otherwise",
                () -> current.differences());
    }

    private void registerRequestMetrics(Metrics metrics) {
        metrics.counterWithCallback(
                "fleet_claims_hedged_total",
                "Keepers asked beyond a majority, since another was late",
                () -> current.hedgedRequests());
        metrics.counterWithCallback(
                "fleet_claims_again_total",
                "Questions to keepers that were said again",
                () -> current.retriedRequests());
        metrics.counterWithCallback(
                "fleet_old_disks_total",
                "Times that this server's disk was found older than its word",
                () -> current.staleDisks());
    }
}
