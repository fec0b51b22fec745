package ochretiller.fleet.replication;

import java.util.Map;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The durable state of a replica: the metadata that it writes and, for recovery after a restart,
 * its entries.
 *
 * @param placement the placement of the adopted epoch
 * @param entries entries by token; empty in a snapshot of the metadata alone
 * @param laggingRanges ranges that the replica was still catching up on
 * @param lostGrantRanges those lagging ranges that the replica had replicated, and in which it may
 *     have lost claims that it granted
 * @param unreliableRanges ranges that the replica had in the previous epoch, but of which its copy
 *     may be incomplete
 * @param changeNumber number of the last stored change
 * @param mayBeStale whether the disk may be older than the replica's last message, so that the
 *     peers have to be queried first
 */
public record ReplicaSnapshot(
        ReplicaPlacement placement,
        Map<String, ReplicaEntry> entries,
        Set<Integer> laggingRanges,
        Set<Integer> lostGrantRanges,
        Set<Integer> unreliableRanges,
        long changeNumber,
        boolean mayBeStale) {
    /** Creates a snapshot that is known to be complete and as new as the last message sent. */
    public ReplicaSnapshot(ReplicaPlacement placement, Map<String, ReplicaEntry> entries) {
        this(placement, entries, Set.of(), Set.of(), Set.of(), 0, false);
    }
}
