package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that a chunked result reaches a write quorum. */
class ChunkedResultTest {
    private final ReplicationCluster cluster = new ReplicationCluster();

    private CompletedClaim completed(ClaimId id, String result) {
        return new CompletedClaim(
                id,
                ClaimOutcome.chunked("body", result),
                Optional.of(result),
                cluster.now.plusSeconds(20),
                cluster.now.plus(ReplicationCluster.WINDOW));
    }

    @Test
    void chunkedResultCountsAsStoredAfterAllItsChunksHaveArrived() {
        for (String name : List.of("a", "b", "c")) {
            cluster.replicas.put(name, cluster.recovered(name, Map.of()));
        }
        cluster.lossRate = 0.2;
        String result = "0123456789".repeat(5_000);
        List<ClaimDecision.Kind> decisions = new ArrayList<>();
        List<Boolean> stored = new ArrayList<>();
        ClaimIntent intent =
                new ClaimIntent(
                        "t",
                        "body",
                        false,
                        cluster.now.plusSeconds(5),
                        cluster.now.plus(ReplicationCluster.WINDOW));
        cluster.owner.claim(
                intent,
                cluster.now,
                decision -> {
                    decisions.add(decision.kind());
                    ClaimId id = decision.claimId().orElseThrow();
                    cluster.owner.reportOutcome(completed(id, result), cluster.now, stored::add);
                });
        for (int i = 0; i < 400 && !stored.contains(true); i++) {
            cluster.runTicks(1);
            cluster.owner.tick(cluster.now);
        }
        assertThat(decisions).containsExactly(ClaimDecision.Kind.RUN);
        assertThat(stored).containsExactly(true);
        long completeReplicas =
                cluster.replicas.values().stream()
                        .filter(
                                replica ->
                                        replica.entry("t")
                                                .canonicalOutcome()
                                                .map(ClaimOutcome::resultPresent)
                                                .orElse(false))
                        .count();
        assertThat(completeReplicas).as("a majority has the result").isGreaterThanOrEqualTo(2);
    }
}
