package ochretiller.fleet.service;

import java.util.List;
import java.util.Map;

/**
 * What is stored beside the placement of a replica.
 *
 * @param observedChangeNumbers highest change number that this server has heard of, by replica
 * @param incarnations last incarnations of this server that used this disk, oldest first
 */
record ReplicaMetadata(Map<String, Long> observedChangeNumbers, List<Long> incarnations) {
    static final ReplicaMetadata NONE = new ReplicaMetadata(Map.of(), List.of());
}
