package ochretiller.fleet.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Token ranges and their replicas must be stable, as servers of all releases must agree. */
class ReplicaPlacementGoldenTest {
    private static final GoldenFile PLACEMENTS = new GoldenFile("layout-draws");
    private static final List<String> TOKENS =
            List.of("", "a", "a token", "caf\u00e9", "order-17", "x".repeat(200));

    private static byte[] text(Object value) {
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void rangesAndTheirReplicasMatchGoldenFile() {
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            servers.add(new ReplicaServer("n" + i, "z" + i % 2));
        }
        ReplicaPlacement placement = new ReplicaPlacement(4, servers, servers.subList(0, 3), 3);
        Map<String, byte[]> actual = new LinkedHashMap<>();
        actual.put(
                "ranges-of-tokens", text(TOKENS.stream().map(ReplicaPlacement::rangeOf).toList()));
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range += 5) {
            actual.put("keepers-of-" + range, text(placement.replicasOf(range)));
            actual.put("former-keepers-of-" + range, text(placement.previousReplicasOf(range)));
        }
        PLACEMENTS.assertMatches(actual);
    }
}
