package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.FIRST_VERSION;
import static ochretiller.fleet.rollout.RolloutFixture.SECOND_VERSION;
import static ochretiller.fleet.rollout.RolloutFixture.counters;
import static ochretiller.fleet.rollout.RolloutFixture.fleet;
import static ochretiller.fleet.rollout.RolloutFixture.reportRunning;
import static ochretiller.fleet.rollout.RolloutFixture.rolloutOfSecond;
import static ochretiller.fleet.rollout.RolloutFixture.serverNames;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import org.junit.jupiter.api.Test;

/** Tests when a rollout advances and what stops it. */
class RolloutControllerTest {
    private static final Duration OBSERVATION = Duration.ofSeconds(10);

    private final RolloutController controller =
            new RolloutController(OBSERVATION, Duration.ofSeconds(30), true);
    private final Duration now = Duration.ofSeconds(1);

    /** Reports from all servers that they run their target version. */
    private static void reportAll(
            RolloutController target,
            ReplicaPlacement fleet,
            VersionCounters candidate,
            VersionCounters baseline) {
        for (String server : serverNames(fleet)) {
            VersionCounters own =
                    RolloutStages.includes(fleet, server) ? candidate : VersionCounters.ZERO;
            target.recordReport(
                    server,
                    reportRunning(RolloutStages.targetVersion(fleet, server), own, baseline));
        }
    }

    private static void reportAllIdle(RolloutController target, ReplicaPlacement fleet) {
        reportAll(target, fleet, VersionCounters.ZERO, VersionCounters.ZERO);
    }

    private static void reportAllRunningFirstVersion(
            RolloutController target, ReplicaPlacement fleet) {
        serverNames(fleet)
                .forEach(server -> target.recordReport(server, reportRunning(FIRST_VERSION)));
    }

    private static Optional<RolloutState> next(
            RolloutController target, ReplicaPlacement fleet, Duration at) {
        return target.nextState(fleet, serverNames(fleet), at);
    }

    private static String firstIncluded(ReplicaPlacement fleet) {
        return serverNames(fleet).stream()
                .filter(server -> RolloutStages.includes(fleet, server))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void eachStageIsObservedOnceItsServersRunTheVersion() {
        ReplicaPlacement fleet = fleet(6, rolloutOfSecond(0));
        reportAllRunningFirstVersion(controller, fleet);
        assertThat(next(controller, fleet, now)).as("no server runs the version yet").isEmpty();
        assertThat(next(controller, fleet, now.plusSeconds(20))).isEmpty();
        controller.recordReport(firstIncluded(fleet), reportRunning(SECOND_VERSION));
        assertThat(next(controller, fleet, now.plusSeconds(21))).isEmpty();
        RolloutState next = next(controller, fleet, now.plusSeconds(31)).orElseThrow();
        assertThat(next.stage()).isEqualTo(1);
        ReplicaPlacement last = fleet(6, rolloutOfSecond(RolloutStages.ALL_SERVERS));
        reportAllIdle(controller, last);
        assertThat(next(controller, last, now.plusSeconds(40))).isEmpty();
        assertThat(next(controller, last, now.plusSeconds(51)).orElseThrow())
                .isEqualTo(rolloutOfSecond(RolloutStages.ALL_SERVERS).completed());
    }

    @Test
    void anotherAcceptorContinuesFromTheCommittedState() {
        ReplicaPlacement fleet = fleet(6, rolloutOfSecond(1));
        RolloutController fresh = new RolloutController(OBSERVATION, OBSERVATION, true);
        reportAllIdle(fresh, fleet);
        assertThat(next(fresh, fleet, now)).isEmpty();
        assertThat(next(fresh, fleet, now.plus(OBSERVATION)).orElseThrow().stage())
                .isEqualTo(RolloutStages.ALL_SERVERS);
    }

    @Test
    void harmfulVersionIsRolledBackByANewVersionOrHalted() {
        ReplicaPlacement fleet = fleet(12, rolloutOfSecond(1));
        reportAll(controller, fleet, VersionCounters.ZERO, counters(5_000, 900));
        assertThat(next(controller, fleet, now))
                .as("counters from before the rollout do not count")
                .isEmpty();
        reportAll(controller, fleet, counters(400, 120), counters(5_400, 904));
        RolloutState rolledBack = next(controller, fleet, now.plusSeconds(1)).orElseThrow();
        assertThat(rolledBack.target().number()).isEqualTo(3);
        assertThat(rolledBack.target().hash()).isEqualTo(FIRST_VERSION.hash());
        assertThat(rolledBack.isComplete()).isTrue();
        assertThat(controller.haltReason()).contains("errored 0.3000");
        RolloutController halting = new RolloutController(OBSERVATION, OBSERVATION, false);
        reportAll(halting, fleet, VersionCounters.ZERO, counters(0, 0));
        next(halting, fleet, now);
        reportAll(halting, fleet, counters(400, 120), counters(400, 4));
        assertThat(next(halting, fleet, now).orElseThrow().phase()).isEqualTo(RolloutPhase.HALTED);
    }

    @Test
    void rejectionStopsAnEarlyStage() {
        for (int stage = 0; stage < RolloutStages.ALL_SERVERS; stage++) {
            ReplicaPlacement fleet = fleet(12, rolloutOfSecond(stage));
            RolloutController freshController =
                    new RolloutController(OBSERVATION, OBSERVATION, true);
            String rejecting = reportAllWithOneRejection(freshController, fleet);
            next(freshController, fleet, now);
            RolloutState next = next(freshController, fleet, now.plusSeconds(11)).orElseThrow();
            assertThat(next.target().hash()).isEqualTo(FIRST_VERSION.hash());
            assertThat(freshController.haltReason()).contains(rejecting).contains("too old");
        }
    }

    @Test
    void rejectionOfOneServerDoesNotStopTheLastStage() {
        ReplicaPlacement fleet = fleet(12, rolloutOfSecond(RolloutStages.ALL_SERVERS));
        RolloutController freshController = new RolloutController(OBSERVATION, OBSERVATION, true);
        reportAllWithOneRejection(freshController, fleet);
        next(freshController, fleet, now);
        next(freshController, fleet, now.plusSeconds(11));
        next(freshController, fleet, now.plusSeconds(11));
        assertThat(next(freshController, fleet, now.plusSeconds(25)).orElseThrow())
                .isEqualTo(fleet.rollout().completed());
    }

    private static String reportAllWithOneRejection(
            RolloutController target, ReplicaPlacement fleet) {
        reportAllIdle(target, fleet);
        String rejecting = firstIncluded(fleet);
        target.recordReport(
                rejecting,
                new VersionReport(
                        1,
                        FIRST_VERSION.hash(),
                        2,
                        "its build is too old",
                        2,
                        VersionCounters.ZERO,
                        VersionCounters.ZERO));
        return rejecting;
    }

    @Test
    void rolloutHaltsIfNoServerActivatesTheVersion() {
        ReplicaPlacement fleet = fleet(6, rolloutOfSecond(0));
        reportAllRunningFirstVersion(controller, fleet);
        next(controller, fleet, now);
        assertThat(next(controller, fleet, now.plusSeconds(100))).isEmpty();
        assertThat(next(controller, fleet, now.plusSeconds(121)).orElseThrow().phase())
                .isEqualTo(RolloutPhase.HALTED);
    }

    @Test
    void pausedRolloutDoesNotAdvance() {
        ReplicaPlacement fleet = fleet(6, rolloutOfSecond(0).withPhase(RolloutPhase.PAUSED));
        reportAll(controller, fleet, counters(1_000, 900), counters(1_000, 0));
        assertThat(next(controller, fleet, now.plusSeconds(1_000))).isEmpty();
    }

    @Test
    void serverWithAnotherHashOfTheSameNumberIsLagging() {
        VersionReport fork =
                new VersionReport(
                        2, "c".repeat(64), 0, "", 2, VersionCounters.ZERO, VersionCounters.ZERO);
        assertThat(RolloutController.isLagging(Optional.of(fork), SECOND_VERSION)).isTrue();
        assertThat(
                        RolloutController.isLagging(
                                Optional.of(reportRunning(SECOND_VERSION)), SECOND_VERSION))
                .isFalse();
        assertThat(RolloutController.isLagging(Optional.empty(), SECOND_VERSION)).isTrue();
    }
}
