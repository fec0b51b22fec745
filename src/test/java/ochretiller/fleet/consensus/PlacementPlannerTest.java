package ochretiller.fleet.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class PlacementPlannerTest {
    private static final int FACTOR = 3;
    private static final List<ReplicaServer> CANDIDATES =
            List.of(server("a"), server("b"), server("c"), server("d"), server("e"));

    private final PlacementPlanner planner =
            new PlacementPlanner(Duration.ofSeconds(2), Duration.ofSeconds(60), FACTOR);

    private static ReplicaServer server(String name) {
        return new ReplicaServer(name, "z" + name);
    }

    private static Duration seconds(int seconds) {
        return Duration.ofSeconds(seconds);
    }

    private Optional<ReplicaPlacement> planAt(int seconds, ReplicaPlacement current) {
        return planner.nextPlacement(current, CANDIDATES, seconds(seconds));
    }

    private void report(String name, long epoch, int laggingRanges) {
        planner.recordProgress(name, new ConsensusMessage.ReplicaProgress(epoch, laggingRanges));
    }

    @Test
    void changesAreProposedOneAtATimeForStableServers() {
        ReplicaPlacement four =
                new ReplicaPlacement(4, CANDIDATES.subList(0, 4), List.of(), FACTOR);
        planner.observe(
                Map.of("a", true, "b", true, "c", true, "d", false, "e", true), Duration.ZERO);
        assertThat(planAt(1, four)).as("no server has been live long enough").isEmpty();
        assertThat(planAt(3, four)).as("no replica has reported its progress").isEmpty();

        List.of("a", "b", "c").forEach(name -> report(name, 4, 0));
        ReplicaPlacement five = planAt(4, four).orElseThrow();
        assertThat(five.contains("e")).as("a server is added before one is removed").isTrue();
        assertThat(planAt(5, five)).as("one change at a time").isEmpty();

        List.of("a", "b", "c").forEach(name -> report(name, 5, 0));
        report("e", 5, 17);
        assertThat(planAt(10, five)).as("a replica is incomplete").isEmpty();
        report("e", 5, 0);
        assertThat(planAt(10, five).orElseThrow().contains("d")).isFalse();
        report("e", 5, 3);
        assertThat(planAt(70, five)).as("missing entries are older than the window").isPresent();
    }

    @Test
    void departedServersAreNotRemovedFromSmallestFleet() {
        ReplicaPlacement three =
                new ReplicaPlacement(4, CANDIDATES.subList(0, 3), List.of(), FACTOR);
        planner.observe(Map.of("a", true, "b", false, "c", false), Duration.ZERO);
        planAt(0, three);
        report("a", 4, 0);

        Optional<ReplicaPlacement> next = planner.nextPlacement(three, List.of(), seconds(60));

        assertThat(next).as("they may hold the only replicas").isEmpty();
    }

    @Test
    void largeFleetHasABoundedNumberOfServersSpreadOverZones() {
        List<ReplicaServer> candidates = new ArrayList<>();
        Map<String, Boolean> liveness = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            candidates.add(new ReplicaServer("m" + i, i < 340 ? "big" : "z" + i % 2));
        }
        candidates.forEach(each -> liveness.put(each.name(), true));
        planner.observe(liveness, Duration.ZERO);

        Duration now = Duration.ZERO;
        ReplicaPlacement placement = ReplicaPlacement.empty(FACTOR);
        for (int i = 0; i < 400; i++) {
            planner.nextPlacement(placement, candidates, now); // observes the epoch
            now = now.plusSeconds(3);
            Optional<ReplicaPlacement> next = planner.nextPlacement(placement, candidates, now);
            if (next.isEmpty()) {
                break;
            }
            placement = next.get();
            reportAllComplete(placement);
        }
        assertThat(placement.servers()).hasSize(ReplicaPlacement.MAX_SERVERS);
        assertThat(placement.servers().stream().filter(each -> each.zone().equals("big")).count())
                .isBetween(40L, 70L);

        String departed = placement.servers().get(0).name();
        liveness.put(departed, false);
        planner.observe(liveness, now);
        planner.nextPlacement(placement, candidates, now);
        placement = planner.nextPlacement(placement, candidates, now.plusSeconds(30)).orElseThrow();
        assertThat(placement.contains(departed)).isFalse();

        reportAllComplete(placement);
        planner.nextPlacement(placement, candidates, now.plusSeconds(30));
        placement = planner.nextPlacement(placement, candidates, now.plusSeconds(40)).orElseThrow();
        assertThat(placement.servers())
                .as("another server replaces the departed one")
                .hasSize(ReplicaPlacement.MAX_SERVERS);
    }

    private void reportAllComplete(ReplicaPlacement placement) {
        placement.servers().forEach(each -> report(each.name(), placement.epoch(), 0));
    }
}
