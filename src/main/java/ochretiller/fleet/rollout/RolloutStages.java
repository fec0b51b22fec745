package ochretiller.fleet.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutState;

/**
 * Which servers act on a version at a stage of its rollout: one; a quarter, spread over the zones;
 * all. Each server can tell by itself, and all tell the same of one layout. Another version draws
 * others, so that it is not always the same ones that are first.
 */
public final class RolloutStages {
    /** The stage at which all act on it. */
    public static final int ALL_SERVERS = 2;

    /** Part of all servers, and of each zone, at the stage before. */
    private static final int PART = 4;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RolloutStages() {}

    private static long draw(long number, String name) {
        return HASH.hashLongs(new long[] {number, HASH.hashChars(name)}) >>> 1;
    }

    /** What this server is to act on. */
    public static PublishedVersion targetVersion(ReplicaPlacement layout, String name) {
        RolloutState rollout = layout.rollout();
        return rollout.isComplete() || includes(layout, name)
                ? rollout.target()
                : rollout.previous();
    }

    /** Whether a server has come to its turn. */
    public static boolean includes(ReplicaPlacement layout, String name) {
        RolloutState rollout = layout.rollout();
        if (rollout.isComplete() || rollout.stage() >= ALL_SERVERS) {
            return true;
        }
        if (layout.contains(name)) {
            return first(layout).contains(name);
        }
        // One that keeps nothing is in no list: it goes by its own draw, and never first.
        return rollout.stage() > 0 && draw(rollout.target().number(), name) < Long.MAX_VALUE / PART;
    }

    private static Set<String> first(ReplicaPlacement layout) {
        long number = layout.rollout().target().number();
        List<ReplicaServer> order = new ArrayList<>(layout.servers());
        order.sort(
                Comparator.comparingLong((ReplicaServer each) -> draw(number, each.name()))
                        .thenComparing(ReplicaServer::name));
        Set<String> first = new HashSet<>();
        if (layout.rollout().stage() == 0) {
            if (!order.isEmpty()) {
                first.add(order.get(0).name());
            }
            return first;
        }
        Map<String, List<String>> zones = new TreeMap<>();
        for (ReplicaServer each : order) {
            zones.computeIfAbsent(each.zone(), ignored -> new ArrayList<>()).add(each.name());
        }
        for (List<String> each : zones.values()) {
            first.addAll(each.subList(0, each.size() / PART));
        }
        int least = (order.size() + PART - 1) / PART;
        // Who was first stays so, and small zones are drawn from together.
        if (!order.isEmpty()) {
            first.add(order.get(0).name());
        }
        for (ReplicaServer each : order) {
            if (first.size() < least) {
                first.add(each.name());
            }
        }
        return first;
    }
}
