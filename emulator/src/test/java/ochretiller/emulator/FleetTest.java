package ochretiller.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.emulator.fleet.ClaimStateModel;
import ochretiller.emulator.fleet.FleetOutcome;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.emulator.fleet.MembershipSimulation;
import ochretiller.emulator.fleet.MembershipStateModel;
import ochretiller.emulator.fleet.RandomScenarios;
import ochretiller.emulator.fleet.ReplicationSimulation;
import ochretiller.emulator.fleet.RolloutSimulation;
import ochretiller.emulator.fleet.StateSpaceExplorer;
import ochretiller.settings.MalformedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Simulates fleets in virtual time, on many more schedules than the drills run on processes. */
class FleetTest {
    /** Guaranteed settling time of the membership protocol after the last fault, in seconds. */
    private static final double MAX_SETTLE_TIME_S = 15;

    static List<Path> scenarioFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("scripts/fleet"))) {
            return files.filter(file -> file.toString().endsWith(".json5")).sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("scenarioFiles")
    void everyScenarioMeetsItsExpectations(Path file) {
        FleetScenario scenario = FleetScenarioReader.read(file);
        for (long seed = 1; seed <= 3; seed++) {
            assertThat(
                            new MembershipSimulation(scenario, seed)
                                    .run()
                                    .unmetExpectations(scenario.expect()))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    @Test
    void randomScenariosSettleWithinTheBound() {
        for (long seed = 1; seed <= 120; seed++) {
            FleetOutcome outcome =
                    new MembershipSimulation(
                                    RandomScenarios.forMembership(seed, MAX_SETTLE_TIME_S), seed)
                            .run();
            assertThat(outcome.settleTimeS)
                    .as("seed " + seed + ": " + outcome.notes)
                    .isLessThanOrEqualTo(MAX_SETTLE_TIME_S);
        }
    }

    @Test
    void sameSeedGivesTheSameOutcome() {
        FleetScenario scenario = RandomScenarios.forMembership(7, MAX_SETTLE_TIME_S);
        FleetOutcome first = new MembershipSimulation(scenario, 7).run();
        FleetOutcome second = new MembershipSimulation(scenario, 7).run();
        assertThat(first.settleTimeS).isEqualTo(second.settleTimeS);
        assertThat(first.ticks).isEqualTo(second.ticks);
        assertThat(first.detectionMs).isEqualTo(second.detectionMs);
    }

    @Test
    void viewsDoNotSettleWhileACutLasts() {
        FleetScenario scenario =
                FleetScenarioReader.parse(
                        "{ seconds: 40, members: 6, zones: 2, incidents: [ { at_s: 5, for_s: 5,"
                                + " what: 'cut', who: 'z1' } ] }",
                        "cut");
        assertThat(new MembershipSimulation(scenario, 1).run().settleTimeS).isFinite();
        FleetScenario cutUntilEnd =
                new FleetScenario(
                        "never",
                        40,
                        6,
                        2,
                        2,
                        1,
                        100,
                        0.3,
                        0.3,
                        false,
                        false,
                        scenario.load(),
                        List.of(new FleetScenario.Incident(5, 100, "cut", "z1", "", "", 1)),
                        new FleetScenario.Expect(MAX_SETTLE_TIME_S, 0, 0, 0));
        assertThat(
                        new MembershipSimulation(cutUntilEnd, 1)
                                .run()
                                .unmetExpectations(cutUntilEnd.expect()))
                .anyMatch(line -> line.startsWith("settled"))
                .anyMatch(line -> line.contains("changes of verdict"));
    }

    @Test
    void membershipExplorationFindsOnlyThePlantedFault() throws Exception {
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(2, 1, false))
                                .explore(7, 10_000, line -> {})
                                .violation())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(3, 1, false))
                                .explore(5, 10_000, line -> {})
                                .violation())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(3, 1, true))
                                .explore(3, 10_000, line -> {})
                                .violation())
                .contains("does not settle");
    }

    @Test
    void noTokenRunsTwiceInRandomScenariosWithReplication() {
        int replayed = 0;
        for (long seed = 1; seed <= 16; seed++) {
            ReplicationSimulation.Outcomes outcome =
                    new ReplicationSimulation(
                                    RandomScenarios.forReplication(seed),
                                    seed,
                                    seed % 3 * 0.4,
                                    seed / 3 % 2 * 0.3,
                                    seed % 4 == 0,
                                    true)
                            .run(60, 25);
            assertThat(outcome.violations).as("seed " + seed).isEmpty();
            assertThat(outcome.conflicts).as("seed " + seed).isZero();
            replayed += outcome.replayed;
        }
        assertThat(replayed).isPositive();
        assertThat(
                        new ReplicationSimulation(
                                        RandomScenarios.forReplication(1), 1, 0, 0, false, false)
                                .run(60, 25)
                                .violations)
                .as("without claims")
                .anyMatch(line -> line.contains("run again"));
    }

    @Test
    void claimExplorationFindsOnlyTheReplicasThatLoseGrants() throws Exception {
        assertThat(
                        new StateSpaceExplorer(() -> new ClaimStateModel(1, false))
                                .explore(3, 100_000, line -> {})
                                .violation())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new ClaimStateModel(1, true))
                                .explore(3, 100_000, line -> {})
                                .violation())
                .isNotNull();
    }

    @Test
    void keyedRunsUseCommittedVersionsAndViolationsAppearWithoutLeases() {
        int harmful = 0;
        int stopped = 0;
        for (long seed = 1; seed <= 80; seed++) {
            RolloutSimulation.Outcomes outcome =
                    new RolloutSimulation(RandomScenarios.forReplication(seed), seed, true)
                            .run(3, 0.3);
            assertThat(outcome.violations).as("seed " + seed).isEmpty();
            assertThat(outcome.settleTimeS).as("seed " + seed + ": " + outcome.notes).isFinite();
            harmful += outcome.harmfulVersions;
            stopped += outcome.stoppedHarmfulVersions;
        }
        assertThat(stopped).isGreaterThan(harmful * 3 / 4);
        assertThat(
                        new RolloutSimulation(RandomScenarios.forReplication(290), 290, false)
                                .run(3, 0.3)
                                .violations)
                .as("without leases")
                .isNotEmpty();
    }

    @Test
    void invalidScenarioIsRejected() {
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.parse(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, for_s:"
                                                + " 9, what: 'cut', who: '1' } ] }",
                                        "s"))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("after the scenario ends");
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.parse(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, what:"
                                                + " 'kill', who: '7' } ] }",
                                        "s"))
                .hasMessageContaining("no members '7'");
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.parse(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, what:"
                                                + " 'burn' } ] }",
                                        "s"))
                .hasMessageContaining("what");
    }
}
