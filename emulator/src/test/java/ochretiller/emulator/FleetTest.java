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

/** Fleets in virtual time: what the drills show on processes, on many more schedules. */
class FleetTest {
    /** The bound that the design note states. */
    private static final double SETTLED_S = 15;

    static List<Path> scripts() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("scripts/fleet"))) {
            return files.filter(file -> file.toString().endsWith(".json5")).sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("scripts")
    void eachScriptComesOutAsItExpects(Path file) {
        FleetScenario script = FleetScenarioReader.read(file);
        for (long seed = 1; seed <= 3; seed++) {
            assertThat(new MembershipSimulation(script, seed).play().missed(script.expect()))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    @Test
    void drawnSchedulesSettleWithinTheBound() {
        for (long seed = 1; seed <= 120; seed++) {
            FleetOutcome outcome =
                    new MembershipSimulation(RandomScenarios.script(seed, SETTLED_S), seed).play();
            assertThat(outcome.settledS)
                    .as("seed " + seed + ": " + outcome.notes)
                    .isLessThanOrEqualTo(SETTLED_S);
        }
    }

    @Test
    void aSeedPlaysTheSameTwice() {
        FleetScenario script = RandomScenarios.script(7, SETTLED_S);
        FleetOutcome one = new MembershipSimulation(script, 7).play();
        FleetOutcome other = new MembershipSimulation(script, 7).play();
        assertThat(one.settledS).isEqualTo(other.settledS);
        assertThat(one.ticks).isEqualTo(other.ticks);
        assertThat(one.knownMs).isEqualTo(other.knownMs);
    }

    @Test
    void aFaultThatNeverEndsIsSeenToLeaveViewsWrong() {
        FleetScenario script =
                FleetScenarioReader.of(
                        "{ seconds: 40, members: 6, zones: 2, incidents: [ { at_s: 5, for_s: 5,"
                                + " what: 'cut', who: 'z1' } ] }",
                        "cut");
        assertThat(new MembershipSimulation(script, 1).play().settledS).isFinite();
        FleetScenario never =
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
                        script.load(),
                        List.of(new FleetScenario.Incident(5, 100, "cut", "z1", "", "", 1)),
                        new FleetScenario.Expect(SETTLED_S, 0, 0, 0));
        assertThat(new MembershipSimulation(never, 1).play().missed(never.expect()))
                .anyMatch(line -> line.startsWith("settled"))
                .anyMatch(line -> line.contains("changes of verdict"));
    }

    @Test
    void allOrdersOfEventsAreExploredAndAPlantedFaultIsFound() throws Exception {
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(2, 1, false))
                                .explore(7, 10_000, line -> {})
                                .broken())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(3, 1, false))
                                .explore(5, 10_000, line -> {})
                                .broken())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new MembershipStateModel(3, 1, true))
                                .explore(3, 10_000, line -> {})
                                .broken())
                .contains("does not settle");
    }

    @Test
    void noTokenIsRunTwiceInDrawnSchedulesWithCopies() {
        int replayed = 0;
        for (long seed = 1; seed <= 16; seed++) {
            ReplicationSimulation.Outcomes outcome =
                    new ReplicationSimulation(
                                    RandomScenarios.copies(seed),
                                    seed,
                                    seed % 3 * 0.4,
                                    seed / 3 % 2 * 0.3,
                                    seed % 4 == 0,
                                    true)
                            .play(60, 25);
            assertThat(outcome.broken).as("seed " + seed).isEmpty();
            assertThat(outcome.conflicts).as("seed " + seed).isZero();
            replayed += outcome.replayed;
        }
        assertThat(replayed).isPositive();
        assertThat(
                        new ReplicationSimulation(RandomScenarios.copies(1), 1, 0, 0, false, false)
                                .play(60, 25)
                                .broken)
                .as("each server for itself")
                .anyMatch(line -> line.contains("run again"));
    }

    @Test
    void claimsAreExploredAndKeepersThatForgetAreFound() throws Exception {
        assertThat(
                        new StateSpaceExplorer(() -> new ClaimStateModel(1, false))
                                .explore(3, 100_000, line -> {})
                                .broken())
                .isNull();
        assertThat(
                        new StateSpaceExplorer(() -> new ClaimStateModel(1, true))
                                .explore(3, 100_000, line -> {})
                                .broken())
                .isNotNull();
    }

    @Test
    void noKeyedRunActsOnAVersionThatWasNotInForceAndStragglersAreFoundWithoutLeases() {
        int harmful = 0;
        int stopped = 0;
        for (long seed = 1; seed <= 80; seed++) {
            RolloutSimulation.Outcomes outcome =
                    new RolloutSimulation(RandomScenarios.copies(seed), seed, true).play(3, 0.3);
            assertThat(outcome.broken).as("seed " + seed).isEmpty();
            assertThat(outcome.settledS).as("seed " + seed + ": " + outcome.notes).isFinite();
            harmful += outcome.harmfulOnes;
            stopped += outcome.harmfulStopped;
        }
        assertThat(stopped).isGreaterThan(harmful * 3 / 4);
        assertThat(
                        new RolloutSimulation(RandomScenarios.copies(290), 290, false)
                                .play(3, 0.3)
                                .broken)
                .as("without leases")
                .isNotEmpty();
    }

    @Test
    void aScriptThatCannotBePlayedIsToldSo() {
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.of(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, for_s:"
                                                + " 9, what: 'cut', who: '1' } ] }",
                                        "s"))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("behind its end");
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.of(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, what:"
                                                + " 'kill', who: '7' } ] }",
                                        "s"))
                .hasMessageContaining("no members '7'");
        assertThatThrownBy(
                        () ->
                                FleetScenarioReader.of(
                                        "{ seconds: 5, members: 3, incidents: [ { at_s: 1, what:"
                                                + " 'burn' } ] }",
                                        "s"))
                .hasMessageContaining("what");
    }
}
