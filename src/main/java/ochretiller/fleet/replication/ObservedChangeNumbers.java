package ochretiller.fleet.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The highest change number that was heard of from each replica: one that restarts with a lower one
 * has a stale disk ({@link DiskFreshnessCheck}). Bounded; not thread-safe.
 */
final class ObservedChangeNumbers {
    /**
     * Replicas that are tracked; guards the memory of a long-lived process against names without
     * end.
     */
    private static final int MAX_TRACKED = 4_096;

    private final Map<String, Long> highest = new HashMap<>();

    void record(String replica, long changeNumber) {
        if (highest.size() < MAX_TRACKED || highest.containsKey(replica)) {
            highest.merge(replica, changeNumber, Math::max);
        }
    }

    /** Returns the highest number of a replica, 0 where none was heard of. */
    long highest(String replica) {
        return highest.getOrDefault(replica, 0L);
    }

    /** Returns the highest numbers of the servers of a placement that were heard of. */
    Map<String, Long> ofServersIn(ReplicaPlacement placement) {
        Map<String, Long> numbers = new TreeMap<>();
        placement.servers().stream()
                .map(server -> server.name())
                .filter(highest::containsKey)
                .forEach(name -> numbers.put(name, highest.get(name)));
        return numbers;
    }
}
