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
 * Remembers which ranges have changed while a replica of them was unreachable, so that they are
 * compared with it first once it is back. In the manner of hinted handoff (Dynamo, DeCandia et al.
 * 2007), with a bit for each range in place of the writes themselves: anti-entropy then transfers
 * what is lacking. Nothing rests on it, since a comparison of all ranges goes on anyway. Not
 * thread-safe.
 */
final class HandoffHints {
    /** Comparisons that hints cause in one tick at most. */
    private static final int MAX_COMPARISONS_PER_TICK = 4;

    /** Unreachable replicas that are remembered. */
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

    /** Takes note of which servers are reachable, as the membership view has them. */
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

    /** Returns whether all of these are known to be unreachable. */
    boolean areUnreachable(Set<String> replicas) {
        return missedByUnreachable.keySet().containsAll(replicas);
    }

    /** Asks for a comparison of a range with a replica, whether it has missed anything or not. */
    void schedule(String replica, int range) {
        dueByReachable.computeIfAbsent(replica, ignored -> new BitSet()).set(range);
    }

    /** Returns the ranges of replicas that are unreachable, or yet to be compared with. */
    int count() {
        return cardinality(dueByReachable) + cardinality(missedByUnreachable);
    }

    private static int cardinality(Map<String, BitSet> hints) {
        return hints.values().stream().mapToInt(BitSet::cardinality).sum();
    }

    /** Returns the next comparisons to make, and forgets them. */
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
