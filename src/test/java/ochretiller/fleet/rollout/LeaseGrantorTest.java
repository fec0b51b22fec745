package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.ONE;
import static ochretiller.fleet.rollout.RolloutFixture.TWO;
import static ochretiller.fleet.rollout.RolloutFixture.fleet;
import static ochretiller.fleet.rollout.RolloutFixture.names;
import static ochretiller.fleet.rollout.RolloutFixture.running;
import static ochretiller.fleet.rollout.RolloutFixture.second;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;
import org.junit.jupiter.api.Test;

/** Tests which servers' leases are renewed. */
class LeaseGrantorTest {
    private final Map<String, VersionReport> reports = new TreeMap<>();
    private final Duration now = Duration.ofSeconds(1);

    private static LeaseGrantor grantor(Duration gracePeriod) {
        return new LeaseGrantor(gracePeriod, new SplittableRandom(1));
    }

    private static ReplicaPlacement lastStage(int servers) {
        return fleet(servers, second(RolloutStages.ALL_SERVERS));
    }

    private void reportAllRunningSecondVersion(ReplicaPlacement fleet) {
        names(fleet).forEach(server -> reports.put(server, running(TWO)));
    }

    @Test
    void stragglerIsFencedAfterItsGracePeriodAndReadmittedOnceItHasCaughtUp() {
        LeaseGrantor grantor = grantor(Duration.ofSeconds(3));
        ReplicaPlacement fleet = lastStage(9);
        reportAllRunningSecondVersion(fleet);
        reports.put("m4", running(ONE));
        assertThat(grantor.renew(fleet, "m5", reports, now)).isTrue();
        assertThat(grantor.renew(fleet, "m4", reports, now.plusSeconds(2)))
                .as("within the grace period")
                .isTrue();
        assertThat(grantor.renew(fleet, "m4", reports, now.plusSeconds(4))).isFalse();
        assertThat(grantor.renew(fleet, "m5", reports, now.plusSeconds(4))).isTrue();
        reports.put("m4", running(TWO));
        boolean isReadmitted = false;
        for (int i = 0; i < 20 && !isReadmitted; i++) {
            isReadmitted = grantor.renew(fleet, "m4", reports, now.plusSeconds(5));
        }
        assertThat(isReadmitted).isTrue();
        assertThat(grantor.fencedServers()).isEmpty();
    }

    @Test
    void noServerIsFencedIfManyAreStragglers() {
        LeaseGrantor grantor = grantor(Duration.ofSeconds(3));
        ReplicaPlacement fleet = lastStage(9);
        for (String server : names(fleet)) {
            reports.put(server, running(server.compareTo("m5") < 0 ? ONE : TWO));
        }
        grantor.renew(fleet, "m1", reports, now);
        assertThat(grantor.renew(fleet, "m1", reports, now.plusSeconds(10)))
                .as("four of nine servers are stragglers")
                .isTrue();
    }

    @Test
    void serversFencedTogetherAreReadmittedAtABoundedRate() {
        LeaseGrantor grantor = grantor(Duration.ZERO);
        ReplicaPlacement fleet = lastStage(40);
        reportAllRunningSecondVersion(fleet);
        List<String> stragglers = new ArrayList<>(names(fleet)).subList(0, 12);
        stragglers.forEach(server -> reports.put(server, running(ONE)));
        stragglers.forEach(server -> grantor.renew(fleet, server, reports, now));
        assertThat(grantor.fencedServers()).hasSize(12);
        stragglers.forEach(server -> reports.put(server, running(TWO)));
        renewRepeatedly(grantor, fleet, stragglers, 10);
        assertThat(grantor.fencedServers().size())
                .as("fenced after the first second")
                .isBetween(7, 11);
        renewRepeatedly(grantor, fleet, stragglers, 100);
        assertThat(grantor.fencedServers()).isEmpty();
    }

    private void renewRepeatedly(
            LeaseGrantor grantor, ReplicaPlacement fleet, List<String> servers, int rounds) {
        for (int round = 0; round < rounds; round++) {
            Duration at = now.plusMillis(round * 100L);
            servers.forEach(server -> grantor.renew(fleet, server, reports, at));
        }
    }
}
