package ochretiller.fleet.service;

import ochretiller.metrics.Metrics;

/**
 * Gauges of replication. The event loop publishes the figures as one immutable object; the gauges
 * are read from any thread.
 */
final class ReplicationMetrics {
    private final ClaimLatency claimLatency;
    private volatile ReplicationFigures figures = ReplicationFigures.NONE;

    ReplicationMetrics(Metrics metrics, ClaimLatency claimLatency) {
        this.claimLatency = claimLatency;
        registerReplicaGauges(metrics);
        registerClaimGauges(metrics);
        registerMessageFigures(metrics);
        registerAntiEntropyFigures(metrics);
        registerRequestFigures(metrics);
    }

    /** Replaces the figures that the gauges show. */
    void publish(ReplicationFigures next) {
        figures = next;
    }

    private void registerReplicaGauges(Metrics metrics) {
        metrics.gauge(
                "fleet_epoch",
                "The epoch in force, as this server knows it",
                () -> figures.epoch());
        metrics.gauge(
                "fleet_ranges_behind",
                "Ranges that this server keeps and does not have whole",
                () -> figures.laggingRanges());
        metrics.gauge(
                "fleet_oldest_gap_seconds",
                "How long the range that has waited longest is not whole",
                () -> figures.oldestLagSeconds());
        metrics.gauge(
                "fleet_entries",
                "Tokens that this server keeps for the fleet",
                () -> figures.entries());
        metrics.gauge(
                "fleet_entries_bytes", "Bytes of those, as reckoned", () -> figures.entryBytes());
    }

    private void registerClaimGauges(Metrics metrics) {
        metrics.gauge(
                "fleet_claim_p50_seconds",
                "Half of the last 1,024 granted claims had their majority within this",
                () -> claimLatency.seconds(50));
        metrics.gauge(
                "fleet_claim_p99_seconds", "Of those, 99 of 100", () -> claimLatency.seconds(99));
        metrics.gauge(
                "fleet_claim_limit", "Claims that may be under way", () -> figures.claimLimit());
        metrics.gauge(
                "fleet_hints",
                "Ranges that have changed while a keeper of them is away, or is yet to be told so",
                () -> figures.hints());
    }

    private void registerMessageFigures(Metrics metrics) {
        metrics.gauge(
                "fleet_words_waiting",
                "A keeper's words that wait for the disk",
                () -> figures.waitingMessages());
        metrics.counted(
                "fleet_words_unsaid_total",
                "A keeper's words that were not said, since the disk did not take what they rest"
                        + " on",
                () -> figures.droppedMessages());
        metrics.counted(
                "fleet_conflicts_total",
                "Tokens with two ends, which must not be",
                () -> figures.conflicts());
    }

    private void registerAntiEntropyFigures(Metrics metrics) {
        metrics.counted(
                "fleet_repair_fetched_bytes_total",
                "Bytes of entries fetched from other keepers, as reckoned",
                () -> figures.fetchedBytes());
        metrics.counted(
                "fleet_repair_sent_bytes_total",
                "Bytes of entries sent to other keepers, as reckoned",
                () -> figures.sentBytes());
        metrics.counted(
                "fleet_compares_total",
                "Ranges compared with another keeper",
                () -> figures.comparisons());
        metrics.counted(
                "fleet_compares_differed_total",
                "Ranges that another keeper had otherwise",
                () -> figures.differences());
    }

    private void registerRequestFigures(Metrics metrics) {
        metrics.counted(
                "fleet_claims_hedged_total",
                "Keepers asked beyond a majority, since another was late",
                () -> figures.hedgedRequests());
        metrics.counted(
                "fleet_claims_again_total",
                "Questions to keepers that were said again",
                () -> figures.retriedRequests());
        metrics.counted(
                "fleet_old_disks_total",
                "Times that this server's disk was found older than its word",
                () -> figures.staleDisks());
    }
}
