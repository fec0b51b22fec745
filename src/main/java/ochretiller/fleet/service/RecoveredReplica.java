package ochretiller.fleet.service;

import java.util.Map;
import java.util.Optional;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaSnapshot;

/**
 * State of a replica that was recovered from its disk.
 *
 * @param snapshot empty if the disk has no placement or may be incomplete
 * @param entries all entries that were read, by token; each is valid even if others are missing
 * @param changeNumber highest change number that was read
 */
record RecoveredReplica(
        Optional<ReplicaSnapshot> snapshot,
        Map<String, ReplicaEntry> entries,
        long changeNumber,
        ReplicaMetadata metadata) {
    /** The state without a disk, or with an empty one. */
    static final RecoveredReplica EMPTY =
            new RecoveredReplica(Optional.empty(), Map.of(), 0, ReplicaMetadata.NONE);
}
