package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.FIRST_VERSION;
import static ochretiller.fleet.rollout.RolloutFixture.SECOND_VERSION;
import static ochretiller.fleet.rollout.RolloutFixture.fleet;
import static ochretiller.fleet.rollout.RolloutFixture.reportRunning;
import static ochretiller.fleet.rollout.RolloutFixture.rolloutOfSecond;
import static ochretiller.fleet.rollout.RolloutFixture.serverNames;
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
        return fleet(servers, rolloutOfSecond(RolloutStages.ALL_SERVERS));
    }

    private void reportAllRunningSecondVersion(ReplicaPlacement fleet) {
        serverNames(fleet).forEach(server -> reports.put(server, reportRunning(SECOND_VERSION)));
    }

    @Test
    void stragglerIsFencedAfterItsGracePeriodAndReadmittedOnceItHasCaughtUp() {
        LeaseGrantor grantor = grantor(Duration.ofSeconds(3));
        ReplicaPlacement fleet = lastStage(9);
        reportAllRunningSecondVersion(fleet);
        reports.put("m4", reportRunning(FIRST_VERSION));
        assertThat(grantor.renew(fleet, "m5", reports, now)).isTrue();
        assertThat(grantor.renew(fleet, "m4", reports, now.plusSeconds(2)))
                .as("within the grace period")
                .isTrue();
        assertThat(grantor.renew(fleet, "m4", reports, now.plusSeconds(4))).isFalse();
        assertThat(grantor.renew(fleet, "m5", reports, now.plusSeconds(4))).isTrue();
        reports.put("m4", reportRunning(SECOND_VERSION));
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
        for (String server : serverNames(fleet)) {
            reports.put(
                    server,
                    reportRunning(server.compareTo("m5") < 0 ? FIRST_VERSION : SECOND_VERSION));
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
        List<String> stragglers = new ArrayList<>(serverNames(fleet)).subList(0, 12);
        stragglers.forEach(server -> reports.put(server, reportRunning(FIRST_VERSION)));
        stragglers.forEach(server -> grantor.renew(fleet, server, reports, now));
        assertThat(grantor.fencedServers()).hasSize(12);
        stragglers.forEach(server -> reports.put(server, reportRunning(SECOND_VERSION)));
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
