package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.EPOCH;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that replicas converge over a network that loses messages. */
class AntiEntropyTest {
    private final ReplicationCluster cluster = new ReplicationCluster();

    @Test
    void onlyDifferencesAreTransferred() {
        Map<String, ReplicaEntry> all = cluster.entries(2_000, "result ");
        Map<String, ReplicaEntry> fewer = new HashMap<>(all);
        for (int i = 0; i < 30; i++) {
            fewer.remove("token-" + i * 7);
        }
        cluster.replicas.put("a", cluster.recovered("a", fewer));
        cluster.replicas.put("b", cluster.recovered("b", all));
        cluster.replicas.put("c", cluster.recovered("c", all));
        cluster.replicas.get("a").compareAllRanges();
        cluster.runTicks(200);
        cluster.assertReplicasEqual();
        assertThat(cluster.replicas.get("a").statistics().receivedEntries()).isEqualTo(30);
    }

    @Test
    void entriesThatDoNotFitIntoAPageAreRequestedByDigest() {
        Map<String, ReplicaEntry> all = cluster.entries(2_000, "r".repeat(1_500));
        Map<String, ReplicaEntry> fewer = new HashMap<>(all);
        for (int i = 0; i < 900; i++) {
            fewer.remove("token-" + i);
        }
        cluster.replicas.put("a", cluster.recovered("a", fewer));
        cluster.replicas.put("b", cluster.recovered("b", all));
        cluster.replicas.put("c", cluster.recovered("c", all));
        cluster.replicas.get("a").compareAllRanges();
        cluster.lossRate = 0.05;
        // Entries that change during the transfer get new digests.
        for (int i = 0; i < 300; i++) {
            cluster.runTicks(1);
            ClaimId id = new ClaimId("x", 1, i);
            for (String name : List.of("b", "c")) {
                ReplicationMessage release =
                        new ReplicationMessage.ClaimRelease(
                                "token-" + i % 900, id, ReplicationCluster.WINDOW);
                cluster.replicas.get(name).receive("x", release, cluster.now);
            }
        }
        cluster.replicas.get("a").compareAllRanges();
        cluster.lossRate = 0;
        cluster.runTicks(400);
        cluster.assertReplicasEqual();
        assertThat(cluster.replicas.get("a").statistics().receivedEntries())
                .as("each missing entry once, plus those that changed")
                .isLessThan(900 + 300 + 300);
    }

    @Test
    void replicaWithLostDiskRecoversDespiteMessageLossWithFewDuplicates() {
        Map<String, ReplicaEntry> all = cluster.entries(3_000, "result ");
        cluster.replicas.put(
                "a", cluster.withoutDisk("a", ReplicationCluster.FAST_BYTES_PER_SECOND));
        cluster.replicas.put("b", cluster.recovered("b", all));
        cluster.replicas.put("c", cluster.recovered("c", all));
        cluster.lossRate = 0.1;
        cluster.runTicks(600);
        Replica a = cluster.replicas.get("a");
        assertThat(a.laggingRangeCount()).isZero();
        assertThat(a.statistics().entries()).isEqualTo(3_000);
        assertThat(a.statistics().receivedEntries())
                .as("the second source sends only entries that the first did not")
                .isLessThan(4_000);
        cluster.assertReplicasEqual();
    }

    @Test
    void catchUpStaysWithinTheRateLimit() {
        Map<String, ReplicaEntry> all = cluster.entries(9_000, "result ");
        cluster.replicas.put("a", cluster.withoutDisk("a", 200_000));
        cluster.replicas.put("b", cluster.recovered("b", all));
        cluster.replicas.put("c", cluster.recovered("c", all));
        cluster.runTicks(100);
        assertThat(cluster.pageBytes)
                .as("two seconds at the rate limit, plus the burst")
                .isLessThan(2 * 200_000 + 256 * 1024 + 6 * RangePager.MAX_PAGE_BYTES + 5_000);
        assertThat(cluster.replicas.get("a").laggingRangeCount()).isPositive();
    }

    @Test
    void changesMissedByAnUnreachableReplicaAreTransferredWhenItReturns() {
        cluster.replicas.put("a", cluster.recovered("a", Map.of()));
        cluster.replicas.put("b", cluster.recovered("b", Map.of()));
        cluster.replicas.put("c", cluster.recovered("c", Map.of()));
        Replica b = cluster.replicas.get("b");
        b.observeLivePeers(Set.of("b", "c"));
        for (int i = 0; i < 40; i++) {
            ClaimId id = new ClaimId("x", 1, i);
            for (String name : List.of("b", "c")) {
                ReplicationMessage request =
                        new ReplicationMessage.ClaimRequest(
                                EPOCH, "t" + i, id, "body", ReplicationCluster.WINDOW);
                cluster.replicas.get(name).receive("x", request, cluster.now);
            }
        }
        assertThat(b.statistics().hints()).isBetween(20, 40);
        b.observeLivePeers(Set.of("a", "b", "c"));
        cluster.runTicks(80);
        assertThat(b.statistics().hints()).isZero();
        assertThat(cluster.replicas.get("a").statistics().entries()).isEqualTo(40);
    }
}
