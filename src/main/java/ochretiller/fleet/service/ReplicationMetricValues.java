package ochretiller.fleet.service;

import java.time.Duration;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaStatistics;

/** Values of the replication metrics at one moment. Immutable, since other threads read them. */
record ReplicationMetricValues(
        long epoch,
        int laggingRanges,
        int entries,
        long entryBytes,
        long conflicts,
        double claimLimit,
        int hints,
        double oldestLagSeconds,
        long fetchedBytes,
        long sentBytes,
        long comparisons,
        long differences,
        int waitingMessages,
        long droppedMessages,
        long hedgedRequests,
        long retriedRequests,
        long staleDisks) {
    /** The values before an epoch is known. */
    static final ReplicationMetricValues NONE =
            new ReplicationMetricValues(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    private static final double NANOS_PER_SECOND = 1e9;

    static ReplicationMetricValues of(
            long epoch,
            Replica replica,
            DurabilityBarrier barrier,
            ClaimCoordinator claims,
            Duration now) {
        ReplicaStatistics statistics = replica.statistics();
        return new ReplicationMetricValues(
                epoch,
                replica.laggingRangeCount(),
                statistics.entries(),
                statistics.estimatedBytes(),
                statistics.conflicts(),
                claims.concurrencyLimit(),
                statistics.hints(),
                replica.longestLag(now).toNanos() / NANOS_PER_SECOND,
                statistics.receivedBytes(),
                statistics.sentBytes(),
                statistics.comparisons(),
                statistics.differences(),
                barrier.waitingMessages(),
                barrier.droppedMessages(),
                claims.hedgedRequests(),
                claims.retriedRequests(),
                statistics.staleDisks());
    }
}
