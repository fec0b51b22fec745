package ochretiller.fleet.service;

import java.util.List;
import java.util.Map;

/**
 * Metadata that is stored together with the placement of a replica.
 *
 * @param observedChangeNumbers highest change number that this server has received, by replica
 * @param incarnations latest incarnations of this server that used this disk, oldest first
 */
record ReplicaMetadata(Map<String, Long> observedChangeNumbers, List<Long> incarnations) {
    static final ReplicaMetadata NONE = new ReplicaMetadata(Map.of(), List.of());
}
