package ochretiller.fleet.replication;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Records which ranges have changed while one of their replicas was unreachable, so that they are
 * compared with it first when it returns. A variant of hinted handoff (Dynamo, DeCandia et al.
 * 2007) that stores one bit per range instead of the writes, and leaves the transfer to
 * anti-entropy. Hints are not needed for correctness, since all ranges are compared continuously
 * anyway. Not thread-safe.
 */
final class HandoffHints {
    /** Maximum number of comparisons that hints start per tick. */
    private static final int MAX_COMPARISONS_PER_TICK = 4;

    /** Maximum number of unreachable replicas that are tracked. */
    private static final int MAX_UNREACHABLE = 1_024;

    private final Map<String, BitSet> missedByUnreachable = new TreeMap<>();
    private final Map<String, BitSet> dueByReachable = new TreeMap<>();

    /** A range to compare with a replica. */
    record DueComparison(String replica, int range) {}

    /** Records that a range with these replicas has changed. */
    void recordChange(int range, List<String> replicas) {
        for (String replica : replicas) {
            BitSet missed = missedByUnreachable.get(replica);
            if (missed != null) {
                missed.set(range);
            }
        }
    }

    /** Updates which servers are reachable according to the membership view. */
    void observeLivePeers(Set<String> live, String self, ReplicaPlacement placement) {
        placement.servers().stream()
                .map(server -> server.name())
                .filter(name -> !name.equals(self))
                .forEach(name -> observe(name, live.contains(name)));
        missedByUnreachable.keySet().removeIf(name -> !placement.contains(name));
        dueByReachable.keySet().removeIf(name -> !placement.contains(name));
    }

    private void observe(String replica, boolean reachable) {
        if (!reachable) {
            if (missedByUnreachable.size() < MAX_UNREACHABLE
                    && !missedByUnreachable.containsKey(replica)) {
                missedByUnreachable.put(
                        replica, dueByReachable.getOrDefault(replica, new BitSet()));
            }
            dueByReachable.remove(replica);
        } else if (missedByUnreachable.containsKey(replica)) {
            BitSet missed = missedByUnreachable.remove(replica);
            if (!missed.isEmpty()) {
                dueByReachable.put(replica, missed);
            }
        }
    }

    /** Returns whether all of these replicas are known to be unreachable. */
    boolean areUnreachable(Set<String> replicas) {
        return missedByUnreachable.keySet().containsAll(replicas);
    }

    /** Schedules a comparison of a range with a replica, whether or not it has missed changes. */
    void schedule(String replica, int range) {
        dueByReachable.computeIfAbsent(replica, ignored -> new BitSet()).set(range);
    }

    /** Returns the number of ranges to compare, summed over all replicas. */
    int count() {
        return cardinality(dueByReachable) + cardinality(missedByUnreachable);
    }

    private static int cardinality(Map<String, BitSet> hints) {
        return hints.values().stream().mapToInt(BitSet::cardinality).sum();
    }

    /** Removes and returns the next comparisons to make. */
    List<DueComparison> takeDue(ReplicaPlacement placement) {
        List<DueComparison> due = new ArrayList<>();
        Iterator<Map.Entry<String, BitSet>> hints = dueByReachable.entrySet().iterator();
        while (hints.hasNext()) {
            Map.Entry<String, BitSet> hint = hints.next();
            takeDue(hint.getKey(), hint.getValue(), placement, due);
            if (hint.getValue().isEmpty()) {
                hints.remove();
            }
        }
        return due;
    }

    private static void takeDue(
            String replica, BitSet missed, ReplicaPlacement placement, List<DueComparison> due) {
        int range = missed.nextSetBit(0);
        while (range >= 0 && due.size() < MAX_COMPARISONS_PER_TICK) {
            missed.clear(range);
            if (placement.replicasOf(range).contains(replica)) {
                due.add(new DueComparison(replica, range));
            }
            range = missed.nextSetBit(range + 1);
        }
    }
}
