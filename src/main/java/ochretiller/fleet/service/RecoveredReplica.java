package ochretiller.fleet.service;

import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaSnapshot;

/**
 * What the start of a replica has found on its disk.
 *
 * @param snapshot nothing if there was none, or if the disk may lack some of it
 * @param entries all entries that were found, by token; each of them holds on its own
 * @param changeNumber highest number of a change that was found
 */
record RecoveredReplica(
        Optional<ReplicaSnapshot> snapshot,
        Map<String, ReplicaEntry> entries,
        long changeNumber,
        ReplicaMetadata metadata) {
    /** Nothing is recovered where entries are kept in memory. */
    static final RecoveredReplica NOTHING =
            new RecoveredReplica(Optional.empty(), Map.of(), 0, ReplicaMetadata.NONE);
}
