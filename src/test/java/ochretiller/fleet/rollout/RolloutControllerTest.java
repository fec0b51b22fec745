package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.ONE;
import static ochretiller.fleet.rollout.RolloutFixture.TWO;
import static ochretiller.fleet.rollout.RolloutFixture.counters;
import static ochretiller.fleet.rollout.RolloutFixture.fleet;
import static ochretiller.fleet.rollout.RolloutFixture.names;
import static ochretiller.fleet.rollout.RolloutFixture.running;
import static ochretiller.fleet.rollout.RolloutFixture.second;
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
        for (String server : names(fleet)) {
            VersionCounters own =
                    RolloutStages.includes(fleet, server) ? candidate : VersionCounters.ZERO;
            target.recordReport(
                    server, running(RolloutStages.targetVersion(fleet, server), own, baseline));
        }
    }

    private static void reportAllIdle(RolloutController target, ReplicaPlacement fleet) {
        reportAll(target, fleet, VersionCounters.ZERO, VersionCounters.ZERO);
    }

    private static void reportAllRunningFirstVersion(
            RolloutController target, ReplicaPlacement fleet) {
        names(fleet).forEach(server -> target.recordReport(server, running(ONE)));
    }

    private static Optional<RolloutState> next(
            RolloutController target, ReplicaPlacement fleet, Duration at) {
        return target.nextState(fleet, names(fleet), at);
    }

    private static String firstIncluded(ReplicaPlacement fleet) {
        return names(fleet).stream()
                .filter(server -> RolloutStages.includes(fleet, server))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void eachStageIsObservedOnceItsServersRunTheVersion() {
        ReplicaPlacement fleet = fleet(6, second(0));
        reportAllRunningFirstVersion(controller, fleet);
        assertThat(next(controller, fleet, now)).as("no server runs the version yet").isEmpty();
        assertThat(next(controller, fleet, now.plusSeconds(20))).isEmpty();
        controller.recordReport(firstIncluded(fleet), running(TWO));
        assertThat(next(controller, fleet, now.plusSeconds(21))).isEmpty();
        RolloutState next = next(controller, fleet, now.plusSeconds(31)).orElseThrow();
        assertThat(next.stage()).isEqualTo(1);
        ReplicaPlacement last = fleet(6, second(RolloutStages.ALL_SERVERS));
        reportAllIdle(controller, last);
        assertThat(next(controller, last, now.plusSeconds(40))).isEmpty();
        assertThat(next(controller, last, now.plusSeconds(51)).orElseThrow())
                .isEqualTo(second(RolloutStages.ALL_SERVERS).completed());
    }

    @Test
    void anotherAcceptorContinuesFromTheCommittedState() {
        ReplicaPlacement fleet = fleet(6, second(1));
        RolloutController fresh = new RolloutController(OBSERVATION, OBSERVATION, true);
        reportAllIdle(fresh, fleet);
        assertThat(next(fresh, fleet, now)).isEmpty();
        assertThat(next(fresh, fleet, now.plus(OBSERVATION)).orElseThrow().stage())
                .isEqualTo(RolloutStages.ALL_SERVERS);
    }

    @Test
    void harmfulVersionIsRolledBackByANewVersionOrHalted() {
        ReplicaPlacement fleet = fleet(12, second(1));
        reportAll(controller, fleet, VersionCounters.ZERO, counters(5_000, 900));
        assertThat(next(controller, fleet, now))
                .as("counters from before the rollout do not count")
                .isEmpty();
        reportAll(controller, fleet, counters(400, 120), counters(5_400, 904));
        RolloutState rolledBack = next(controller, fleet, now.plusSeconds(1)).orElseThrow();
        assertThat(rolledBack.target().number()).isEqualTo(3);
        assertThat(rolledBack.target().hash()).isEqualTo(ONE.hash());
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
            ReplicaPlacement fleet = fleet(12, second(stage));
            RolloutController freshController =
                    new RolloutController(OBSERVATION, OBSERVATION, true);
            String rejecting = reportAllWithOneRejection(freshController, fleet);
            next(freshController, fleet, now);
            RolloutState next = next(freshController, fleet, now.plusSeconds(11)).orElseThrow();
            assertThat(next.target().hash()).isEqualTo(ONE.hash());
            assertThat(freshController.haltReason()).contains(rejecting).contains("too old");
        }
    }

    @Test
    void rejectionOfOneServerDoesNotStopTheLastStage() {
        ReplicaPlacement fleet = fleet(12, second(RolloutStages.ALL_SERVERS));
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
                        ONE.hash(),
                        2,
                        "its build is too old",
                        2,
                        VersionCounters.ZERO,
                        VersionCounters.ZERO));
        return rejecting;
    }

    @Test
    void rolloutHaltsIfNoServerActivatesTheVersion() {
        ReplicaPlacement fleet = fleet(6, second(0));
        reportAllRunningFirstVersion(controller, fleet);
        next(controller, fleet, now);
        assertThat(next(controller, fleet, now.plusSeconds(100))).isEmpty();
        assertThat(next(controller, fleet, now.plusSeconds(121)).orElseThrow().phase())
                .isEqualTo(RolloutPhase.HALTED);
    }

    @Test
    void pausedRolloutDoesNotAdvance() {
        ReplicaPlacement fleet = fleet(6, second(0).withPhase(RolloutPhase.PAUSED));
        reportAll(controller, fleet, counters(1_000, 900), counters(1_000, 0));
        assertThat(next(controller, fleet, now.plusSeconds(1_000))).isEmpty();
    }

    @Test
    void serverWithAnotherHashOfTheSameNumberIsLagging() {
        VersionReport fork =
                new VersionReport(
                        2, "c".repeat(64), 0, "", 2, VersionCounters.ZERO, VersionCounters.ZERO);
        assertThat(RolloutController.isBehind(Optional.of(fork), TWO)).isTrue();
        assertThat(RolloutController.isBehind(Optional.of(running(TWO)), TWO)).isFalse();
        assertThat(RolloutController.isBehind(Optional.empty(), TWO)).isTrue();
    }
}
