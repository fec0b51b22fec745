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
 * Selects the servers that run a version at each stage of its rollout: one canary, then a quarter
 * of the servers spread over the zones, then all. Every server computes the same selection from the
 * committed placement. The hash includes the version number, so that versions start on different
 * servers. Stateless.
 */
public final class RolloutStages {
    /** The stage at which all servers run the version. */
    public static final int ALL_SERVERS = 2;

    /** Divisor of the number of servers, in total and per zone, for the stage before the last. */
    private static final int PARTIAL_STAGE_DIVISOR = 4;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RolloutStages() {}

    private static long hashOf(long version, String server) {
        return HASH.hashLongs(new long[] {version, HASH.hashChars(server)}) >>> 1;
    }

    /** Returns the version that this server has to run. */
    public static PublishedVersion targetVersion(ReplicaPlacement placement, String server) {
        RolloutState rollout = placement.rollout();
        return rollout.isComplete() || includes(placement, server)
                ? rollout.target()
                : rollout.previous();
    }

    /** Returns whether the rollout's current stage includes this server. */
    public static boolean includes(ReplicaPlacement placement, String server) {
        RolloutState rollout = placement.rollout();
        if (rollout.isComplete() || rollout.stage() >= ALL_SERVERS) {
            return true;
        }
        if (placement.contains(server)) {
            return earlyServers(placement).contains(server);
        }
        // Servers without a replica are not in the placement. Each decides by its own hash and is
        // never the canary.
        return rollout.stage() > 0
                && hashOf(rollout.target().number(), server)
                        < Long.MAX_VALUE / PARTIAL_STAGE_DIVISOR;
    }

    private static Set<String> earlyServers(ReplicaPlacement placement) {
        RolloutState rollout = placement.rollout();
        List<ReplicaServer> order = inHashOrder(placement, rollout.target().number());
        Set<String> early = new HashSet<>();
        if (order.isEmpty()) {
            return early;
        }
        String canary = order.get(0).name();
        if (rollout.stage() > 0) {
            early.addAll(earlyServersOfEachZone(order));
        }
        early.add(canary);
        if (rollout.stage() > 0) {
            fillUp(early, order);
        }
        return early;
    }

    private static List<ReplicaServer> inHashOrder(ReplicaPlacement placement, long version) {
        List<ReplicaServer> order = new ArrayList<>(placement.servers());
        order.sort(
                Comparator.comparingLong((ReplicaServer server) -> hashOf(version, server.name()))
                        .thenComparing(ReplicaServer::name));
        return order;
    }

    private static Set<String> earlyServersOfEachZone(List<ReplicaServer> order) {
        Map<String, List<String>> zones = new TreeMap<>();
        for (ReplicaServer server : order) {
            zones.computeIfAbsent(server.zone(), ignored -> new ArrayList<>()).add(server.name());
        }
        Set<String> selected = new HashSet<>();
        for (List<String> zone : zones.values()) {
            selected.addAll(zone.subList(0, zone.size() / PARTIAL_STAGE_DIVISOR));
        }
        return selected;
    }

    /** Adds servers in hash order up to a quarter of all, since small zones contribute none. */
    private static void fillUp(Set<String> early, List<ReplicaServer> order) {
        int minSize = (order.size() + PARTIAL_STAGE_DIVISOR - 1) / PARTIAL_STAGE_DIVISOR;
        for (ReplicaServer server : order) {
            if (early.size() < minSize) {
                early.add(server.name());
            }
        }
    }
}
