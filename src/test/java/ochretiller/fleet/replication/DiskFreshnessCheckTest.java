package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.EPOCH;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that a restarted replica detects a disk that lacks changes it has sent. */
class DiskFreshnessCheckTest {
    private final ReplicationCluster cluster = new ReplicationCluster();

    @Test
    void diskOlderThanTheLastMessageIsDetectedAndTreatedAsLost() {
        Map<String, ReplicaEntry> all = cluster.entries(200, "result ");
        cluster.replicas.put("b", cluster.recovered("b", all));
        cluster.replicas.put("c", cluster.recovered("c", all));
        ReplicationMessage laterReply =
                new ReplicationMessage.ClaimReply(
                        EPOCH,
                        "x",
                        new ClaimId("s", 1, 9),
                        ReplicationMessage.ClaimVote.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        900);
        cluster.owner.receive("a", laterReply, cluster.now);
        cluster.replicas.put("a", cluster.recovered("a", Map.of(), 850, true));
        Replica a = cluster.replicas.get("a");
        a.receive(
                "s",
                new ReplicationMessage.ClaimRequest(
                        EPOCH, "y", new ClaimId("s", 1, 10), "b", ReplicationCluster.WINDOW),
                cluster.now);
        ReplicationMessage.ClaimReply reply =
                (ReplicationMessage.ClaimReply) a.takeOutbound().get(0).message();
        assertThat(reply.vote())
                .as("while the check is in progress")
                .isEqualTo(ReplicationMessage.ClaimVote.LAGGING);
        cluster.runTicks(100);
        assertThat(a.statistics().staleDisks()).isEqualTo(1);
        assertThat(a.laggingRangeCount()).isZero();
        assertThat(a.changeNumber()).isGreaterThan(900);
        cluster.assertReplicasEqual();
    }

    @Test
    void diskAsNewAsTheLastMessageIsAcceptedAfterPeersHaveConfirmedIt() {
        cluster.replicas.put("b", cluster.recovered("b", Map.of()));
        cluster.replicas.put("c", cluster.recovered("c", Map.of()));
        cluster.owner.receive(
                "a",
                new ReplicationMessage.OutcomeStored(EPOCH, "x", new ClaimId("s", 1, 9), 850),
                cluster.now);
        cluster.replicas.put("a", cluster.recovered("a", Map.of(), 850, true));
        cluster.runTicks(100);
        assertThat(cluster.replicas.get("a").isCheckingDisk()).isFalse();
        assertThat(cluster.replicas.get("a").statistics().staleDisks()).isZero();
    }
}
