package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the servers of a range by rendezvous hashing, also called highest random weight (Thaler,
 * Ravishankar: "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998): each server's weight for a range is a hash of both, and the servers with
 * the highest weights are chosen. Adding or removing a server moves only the ranges assigned to it.
 * Departure: servers of different zones are preferred.
 *
 * <p>Every server must compute the same choice on its own, so the hash (XXH3, 64 bits, seed 0) and
 * the signed order of weights must not change.
 */
final class RendezvousHashing {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHashing() {}

    /** Names of the servers of a range by descending weight: one per zone first, then others. */
    static List<String> choose(List<ReplicaServer> servers, int range, int count) {
        List<ReplicaServer> byWeight = new ArrayList<>(servers);
        byWeight.sort(
                Comparator.comparingLong((ReplicaServer server) -> weight(server, range))
                        .reversed()
                        .thenComparing(ReplicaServer::name));
        List<String> chosen = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (ReplicaServer server : byWeight) {
            if (chosen.size() < count && zones.add(server.zone())) {
                chosen.add(server.name());
            }
        }
        for (ReplicaServer server : byWeight) {
            if (chosen.size() < count && !chosen.contains(server.name())) {
                chosen.add(server.name());
            }
        }
        return List.copyOf(chosen);
    }

    private static long weight(ReplicaServer server, int range) {
        return HASH.hashLongs(new long[] {range, HASH.hashChars(server.name())});
    }
}
