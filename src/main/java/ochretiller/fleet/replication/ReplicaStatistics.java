package ochretiller.fleet.replication;

/**
 * Statistics of a {@link Replica} at one moment. {@code entries}, {@code estimatedBytes} and {@code
 * hints} may fall; the others are counters that only grow during a process.
 *
 * @param entries number of stored entries
 * @param estimatedBytes estimated size of the stored entries, in bytes
 * @param conflicts tokens that were found to have conflicting outcomes
 * @param hints ranges to compare with replicas that missed changes, summed over those replicas
 * @param receivedEntries entries received by anti-entropy
 * @param receivedBytes estimated size of the received entries, in bytes
 * @param sentBytes estimated size of the entries sent to other replicas, in bytes
 * @param comparisons random range comparisons started by this replica
 * @param differences comparisons, started by either side, that found a difference
 * @param staleDisks number of times that the disk was found to be older than the replica's last
 *     message
 */
public record ReplicaStatistics(
        int entries,
        long estimatedBytes,
        long conflicts,
        int hints,
        long receivedEntries,
        long receivedBytes,
        long sentBytes,
        long comparisons,
        long differences,
        long staleDisks) {
    /** The statistics of a server that is not a replica. */
    public static final ReplicaStatistics NONE =
            new ReplicaStatistics(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
}
