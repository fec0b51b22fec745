package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.fleet;
import static ochretiller.fleet.rollout.RolloutFixture.rolloutOfSecond;
import static ochretiller.fleet.rollout.RolloutFixture.serverNames;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;
import org.junit.jupiter.api.Test;

/** Tests which servers each stage includes. */
class RolloutStagesTest {
    @Test
    void stagesAreOneCanaryThenAQuarterOfEachZoneThenAll() {
        ReplicaPlacement canaryStage = fleet(24, rolloutOfSecond(0));
        ReplicaPlacement partialStage = fleet(24, rolloutOfSecond(1));
        Set<String> canaries = new HashSet<>();
        Map<String, Integer> zones = new TreeMap<>();
        canaryStage
                .servers()
                .forEach(
                        server -> {
                            if (RolloutStages.includes(canaryStage, server.name())) {
                                canaries.add(server.name());
                            }
                            if (RolloutStages.includes(partialStage, server.name())) {
                                zones.merge(server.zone(), 1, Integer::sum);
                            }
                        });
        assertThat(canaries).hasSize(1);
        assertThat(canaries)
                .as("the canary stays included")
                .allMatch(server -> RolloutStages.includes(partialStage, server));
        assertThat(zones).containsOnlyKeys("z0", "z1", "z2");
        assertThat(zones.values()).allMatch(count -> count == 2 || count == 3);
        ReplicaPlacement lastStage = fleet(24, rolloutOfSecond(RolloutStages.ALL_SERVERS));
        assertThat(serverNames(canaryStage))
                .allMatch(server -> RolloutStages.includes(lastStage, server));
        for (int size = 1; size < 12; size++) {
            ReplicaPlacement small = fleet(size, rolloutOfSecond(1));
            long included =
                    serverNames(small).stream()
                            .filter(server -> RolloutStages.includes(small, server))
                            .count();
            assertThat(included).as(size + " servers").isBetween(1L, Math.max(1, size / 2L));
        }
    }
}
