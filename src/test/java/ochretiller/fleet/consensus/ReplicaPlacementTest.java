package ochretiller.fleet.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReplicaPlacementTest {
    private static ReplicaPlacement placementOf(int servers) {
        List<ReplicaServer> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new ReplicaServer("s" + i, zoneOf("s" + i)));
        }
        return new ReplicaPlacement(1, all, List.of(), 3);
    }

    private static String zoneOf(String name) {
        return "z" + Integer.parseInt(name.substring(1)) % 3;
    }

    @Test
    void replicasOfEachRangeAreInDifferentZones() {
        ReplicaPlacement placement = placementOf(12);

        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            Set<String> zones = new HashSet<>();
            for (String name : placement.replicasOf(range)) {
                zones.add(zoneOf(name));
            }
            assertThat(zones).hasSize(3);
        }
    }

    @Test
    void removingAServerMovesOnlyTheRangesThatItHeld() {
        ReplicaPlacement before = placementOf(12);

        ReplicaPlacement after = before.without("s4");

        int moved = 0;
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            boolean isSame = before.replicasOf(range).equals(after.replicasOf(range));
            if (!isSame) {
                moved++;
                assertThat(before.replicasOf(range)).contains("s4");
            }
            assertThat(after.previousReplicasOf(range)).isEqualTo(before.replicasOf(range));
        }
        assertThat(moved)
                .isBetween(ReplicaPlacement.RANGE_COUNT / 12, ReplicaPlacement.RANGE_COUNT / 2);
    }
}
