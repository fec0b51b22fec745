package ochretiller.fleet.replication;

/**
 * Figures of a {@link Replica} at one moment. All but the first, second and fourth only grow during
 * a process.
 *
 * @param entries tokens that are stored
 * @param estimatedBytes estimated bytes of their entries
 * @param conflicts tokens that came to have conflicting outcomes
 * @param hints ranges that changed while a replica of them is unreachable, or is yet to be compared
 *     with
 * @param receivedEntries entries that anti-entropy has received
 * @param receivedBytes estimated bytes of those
 * @param sentBytes estimated bytes of entries that were sent to other replicas
 * @param comparisons random comparisons of ranges that this replica has started
 * @param differences comparisons, started by either side, that found a difference
 * @param staleDisks times that the disk was found to be older than what the replica had sent
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
    /** The figures of a server that is no replica. */
    public static final ReplicaStatistics NONE =
            new ReplicaStatistics(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
}
