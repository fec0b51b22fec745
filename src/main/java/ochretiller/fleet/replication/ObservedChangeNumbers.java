package ochretiller.fleet.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The highest change number observed from each replica: a replica that restarts with a lower one
 * has a stale disk ({@link DiskFreshnessCheck}). Bounded; not thread-safe.
 */
final class ObservedChangeNumbers {
    /** Maximum number of replicas tracked; bounds memory if new names keep appearing. */
    private static final int MAX_TRACKED = 4_096;

    private final Map<String, Long> highest = new HashMap<>();

    void record(String replica, long changeNumber) {
        if (highest.size() < MAX_TRACKED || highest.containsKey(replica)) {
            highest.merge(replica, changeNumber, Math::max);
        }
    }

    /** Returns the highest number observed from a replica; 0 if none was. */
    long highest(String replica) {
        return highest.getOrDefault(replica, 0L);
    }

    /** Returns the highest numbers observed from servers of a placement, by server name. */
    Map<String, Long> ofServersIn(ReplicaPlacement placement) {
        Map<String, Long> numbers = new TreeMap<>();
        placement.servers().stream()
                .map(server -> server.name())
                .filter(highest::containsKey)
                .forEach(name -> numbers.put(name, highest.get(name)));
        return numbers;
    }
}
