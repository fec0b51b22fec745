package ochretiller.emulator.simulation;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A gateway's view of the servers and of the owner of each token. Owners are chosen by consistent
 * hashing, so a change of the servers moves only the tokens of the servers that change.
 */
final class ServiceDirectory {
    /** Points of a server on the hash ring; with 32, shares differ by a few tenths. */
    private static final int POINTS_PER_SERVER = 32;

    final List<EmulatedServer> servers;
    private final TreeMap<Long, EmulatedServer> ring = new TreeMap<>();

    ServiceDirectory(List<EmulatedServer> servers) {
        this.servers = List.copyOf(servers);
        for (EmulatedServer server : servers) {
            SplittableRandom points = new SplittableRandom(server.index);
            for (int i = 0; i < POINTS_PER_SERVER; i++) {
                ring.put(points.nextLong(), server);
            }
        }
    }

    /** Returns the server that owns a token, null if there are no servers. */
    EmulatedServer owner(String token) {
        if (ring.isEmpty()) {
            return null;
        }
        Map.Entry<Long, EmulatedServer> entry =
                ring.ceilingEntry(new SplittableRandom(token.hashCode()).nextLong());
        return (entry == null ? ring.firstEntry() : entry).getValue();
    }
}
