package ochretiller.fleet.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;

/** Test data of this package: two versions, and fleets in which the second one is rolled out. */
final class RolloutFixture {
    static final PublishedVersion FIRST_VERSION =
            new PublishedVersion(1, "a".repeat(64), 10, "", "ann", "first");
    static final PublishedVersion SECOND_VERSION =
            new PublishedVersion(2, "b".repeat(64), 10, "", "ann", "second");

    private RolloutFixture() {}

    /** Returns a placement of servers m1, m2 and so on in three zones. */
    static ReplicaPlacement fleet(int size, RolloutState rollout) {
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            servers.add(new ReplicaServer("m" + i, "z" + i % 3));
        }
        return new ReplicaPlacement(5, servers, servers, 3, rollout);
    }

    /** Returns a running rollout of the second version at a stage. */
    static RolloutState rolloutOfSecond(int stage) {
        return new RolloutState(SECOND_VERSION, FIRST_VERSION, stage, RolloutPhase.RUNNING);
    }

    static Set<String> serverNames(ReplicaPlacement placement) {
        Set<String> names = new TreeSet<>();
        placement.servers().forEach(server -> names.add(server.name()));
        return names;
    }

    static VersionReport reportRunning(
            PublishedVersion version, VersionCounters candidate, VersionCounters baseline) {
        return new VersionReport(version.number(), version.hash(), 0, "", 2, candidate, baseline);
    }

    static VersionReport reportRunning(PublishedVersion version) {
        return reportRunning(version, VersionCounters.ZERO, VersionCounters.ZERO);
    }

    static VersionCounters counters(long answered, long errored) {
        return new VersionCounters(answered, 0, errored, 0, answered - errored, answered);
    }
}
