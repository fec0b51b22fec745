package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;

/** Shared test data: three servers in three zones that replicate every range. */
final class ReplicationFixture {
    static final Duration WINDOW = Duration.ofSeconds(20);
    static final List<ReplicaServer> THREE_SERVERS =
            List.of(
                    new ReplicaServer("a", "1"),
                    new ReplicaServer("b", "2"),
                    new ReplicaServer("c", "3"));
    static final long EPOCH = 3;
    static final ReplicaPlacement PLACEMENT =
            new ReplicaPlacement(EPOCH, THREE_SERVERS, THREE_SERVERS, 3);

    private ReplicationFixture() {}
}
