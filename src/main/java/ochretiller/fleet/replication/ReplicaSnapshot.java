package ochretiller.fleet.replication;

import java.util.Map;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The durable state of a replica: what it writes beside its entries, and what it recovers from
 * after a restart.
 *
 * @param placement the epoch that it had adopted
 * @param entries entries by token; empty where only the metadata is meant
 * @param laggingRanges ranges that it did not have completely
 * @param forgottenRanges those among them that it had replicated, and in which it may have
 *     forgotten claims it granted
 * @param unreliableRanges ranges that it had in the previous epoch, and for which it is no source
 *     to others
 * @param changeNumber number of the last change that is stored
 * @param mayBeStale whether the disk may be older than what the replica has sent, so that the peers
 *     are asked first
 */
public record ReplicaSnapshot(
        ReplicaPlacement placement,
        Map<String, ReplicaEntry> entries,
        Set<Integer> laggingRanges,
        Set<Integer> forgottenRanges,
        Set<Integer> unreliableRanges,
        long changeNumber,
        boolean mayBeStale) {
    /** A snapshot that is known to be complete and as new as the last message sent. */
    public ReplicaSnapshot(ReplicaPlacement placement, Map<String, ReplicaEntry> entries) {
        this(placement, entries, Set.of(), Set.of(), Set.of(), 0, false);
    }
}
