package ochretiller.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import ochretiller.emulator.experiment.ConfidenceInterval;
import ochretiller.emulator.experiment.Experiment;
import ochretiller.emulator.experiment.ParallelRunner;
import ochretiller.emulator.faultsearch.FaultSearch;
import ochretiller.emulator.faultsearch.RandomIncidents;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.scenario.ScenarioReader;
import ochretiller.emulator.simulation.Simulation;
import ochretiller.emulator.simulation.SimulationResult;
import ochretiller.settings.MalformedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ScenarioTest {
    private static final String SMALL =
            """
            { seconds: 8, fleet: { boxes: 3, boot_s: 1, cold_s: 2 }, gateways: { count: 3, list_s: 0.5 },
              operations: [ { name: 'read', work_ms: 20, objective_ms: 500, timeout_ms: 1500 },
                { name: 'order', effect: 'tokened', work_ms: 30, calls: true, objective_ms: 1000, timeout_ms: 3000, value: 5,
                  window_ms: 8000, repeats: 1, back_s: 3 } ],
              traffic: { per_second: 60, callers: 20 }, incidents: [ %s ] }\
            """;

    private static Scenario small(String incidents) {
        return ScenarioReader.of(SMALL.formatted(incidents), "small");
    }

    private static String told(SimulationResult outcome) {
        StringBuilder told =
                new StringBuilder()
                        .append(outcome.valueShare())
                        .append(' ')
                        .append(outcome.events());
        outcome.seconds()
                .forEach(
                        each ->
                                told.append(' ')
                                        .append(each.succeeded)
                                        .append('/')
                                        .append(each.tries));
        return told.toString();
    }

    @Test
    void sameSeedGivesTheSameRunByOneThreadAndByMany() throws Exception {
        Scenario script =
                small("{ at_s: 3, what: 'die', share: 0.4 }, { at_s: 4, what: 'burst', for_s: 2 }");
        List<ParallelRunner.Run> all =
                Stream.iterate(1L, seed -> seed + 1)
                        .limit(12)
                        .map(seed -> new ParallelRunner.Run(script, seed))
                        .toList();
        try (ParallelRunner one = new ParallelRunner(1);
                ParallelRunner many = new ParallelRunner(8)) {
            List<String> alone = one.play(all).stream().map(ScenarioTest::told).toList();
            assertThat(many.play(all).stream().map(ScenarioTest::told).toList()).isEqualTo(alone);
            assertThat(alone).doesNotHaveDuplicates();
        }
    }

    @Test
    void incidentThatTakesNobodyChangesNothing() {
        assertThat(
                        told(new Simulation(
                                                small(
                                                        "{ at_s: 3, what: 'slow', share: 0, for_s:"
                                                                + " 3 }"),
                                                5)
                                        .play())
                                .replaceAll(" \\d+ ", " "))
                .isEqualTo(told(new Simulation(small(""), 5).play()).replaceAll(" \\d+ ", " "));
    }

    static Stream<Path> scripts() throws IOException {
        return Files.list(Path.of("scripts")).filter(Files::isRegularFile).sorted();
    }

    /**
     * The short rehearsal of CI: each script of the folder, cut to its first incidents, with a
     * fixed seed.
     */
    @ParameterizedTest
    @MethodSource("scripts")
    void rulesHoldInEachScript(Path file) {
        SimulationResult outcome = new Simulation(ScenarioReader.read(file), 3).play();
        assertThat(outcome.rules().broken()).isEmpty();
        assertThat(outcome.rules().runs()).isGreaterThan(1_000);
        assertThat(outcome.valueShare()).isBetween(0.3, 1.0);
    }

    @Test
    void incidentsCostValueAndItComesBack() {
        SimulationResult calm = new Simulation(small(""), 1).play();
        assertThat(calm.valueShare()).isGreaterThan(0.95);
        for (String incident :
                List.of(
                        "{ at_s: 2, what: 'pause', share: 1, for_s: 2 }",
                        "{ at_s: 2, what: 'cut', share: 1, for_s: 2 }",
                        "{ at_s: 2, what: 'die', share: 1, for_s: 1 }",
                        "{ at_s: 2, what: 'fail', share: 1, for_s: 2, strength: 1 }",
                        "{ at_s: 2, what: 'slow', share: 1, for_s: 2, strength: 8 }",
                        "{ at_s: 2, what: 'ledger-down', for_s: 2 }",
                        "{ at_s: 2, what: 'ledger-slow', for_s: 2, strength: 200 }")) {
            SimulationResult hit = new Simulation(small(incident), 1).play();
            assertThat(hit.valueShare()).as(incident).isLessThan(calm.valueShare() - 0.02);
            assertThat(hit.seconds().get(7).succeeded).as(incident).isPositive();
        }
    }

    @Test
    void keyedRepeatsBehindARestartAreAnsweredFromWhatIsRemembered() {
        String incidents =
                "{ at_s: 2, what: 'die', share: 0.4 }, { at_s: 4, what: 'die', share: 0.4 }";
        Scenario remembers =
                ScenarioReader.of(
                        SMALL.formatted(incidents).replace("boxes: 3", "boxes: 3, remembers: true"),
                        "small");
        SimulationResult outcome = new Simulation(remembers, 2).play();
        assertThat(outcome.deaths()).isEqualTo(4);
        assertThat(outcome.rules().broken()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{ seconds: 8 }",
                "{ at_s: 1, what: 'flood' }",
                "{ at_s: 1, what: 'die', share: 2 }"
            })
    void faultIsToldWithItsPlace(String fault) {
        String text = fault.startsWith("{ seconds") ? fault : SMALL.formatted(fault);
        assertThatThrownBy(() -> ScenarioReader.of(text, "x"))
                .isInstanceOf(MalformedException.class)
                .hasMessageMatching("(?s)x:\\d+:\\d+: .*");
    }

    @Test
    void partsThatDoNotFitAreTold() {
        assertThatThrownBy(() -> small("{ at_s: 9, what: 'die' }"))
                .hasMessageContaining("not before the end of the run");
        assertThatThrownBy(
                        () ->
                                ScenarioReader.of(
                                        SMALL.formatted("")
                                                .replace("name: 'order'", "name: 'read'"),
                                        "x"))
                .hasMessageContaining("duplicate operation");
    }

    @Test
    void drawnIncidentsMakeGoodScriptsAndTheWorstIsCutDown(@TempDir Path folder) throws Exception {
        Scenario base = small("");
        SplittableRandom chance = new SplittableRandom(4);
        for (int i = 0; i < 200; i++) {
            for (Scenario.Incident each : RandomIncidents.draw(base, chance)) {
                assertThat(each.atS()).isBetween(0.0, 8.0);
                assertThat(each.what()).isNotEqualTo("disk-stall");
            }
        }
        try (ParallelRunner runs = new ParallelRunner(4)) {
            FaultSearch hunt = new FaultSearch(runs, base, 1);
            FaultSearch.Find found = hunt.search(8, 8, said -> {});
            FaultSearch.Find cut = hunt.cut(found, said -> {});
            assertThat(cut.script().incidents().size())
                    .isLessThanOrEqualTo(found.script().incidents().size());
            assertThat(new Simulation(cut.script(), cut.seed()).play().valueShare())
                    .isEqualTo(cut.value());
        }
    }

    @Test
    void variantsChangeMembersOrSettings(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("small.json5"), SMALL.formatted(""));
        Scenario variant =
                ScenarioReader.variant(
                        file, "gateways.choice=least,fleet.cores=4,familyInfo.advert=window");
        assertThat(variant.gateways().choice()).isEqualTo("least");
        assertThat(variant.fleet().cores()).isEqualTo(4);
        assertThat(variant.settings()).containsEntry("familyInfo.advert", "window");
        assertThat(variant.operations()).isEqualTo(ScenarioReader.read(file).operations());
        assertThatThrownBy(() -> ScenarioReader.variant(file, "gateways.choice=best"))
                .hasMessageContaining("choice");
        assertThatThrownBy(() -> ScenarioReader.variant(file, "nothing"))
                .hasMessageContaining("invalid override");
    }

    @Test
    void experimentsStopOnceTheyKnowEnoughWhateverTheCores() throws Exception {
        Scenario script = small("");
        List<Integer> seeds = new java.util.ArrayList<>();
        for (int cores : new int[] {1, 4}) {
            try (ParallelRunner runs = new ParallelRunner(cores)) {
                Experiment experiment =
                        new Experiment(List.of(script), 1, 30, 0.01, SimulationResult::valueShare);
                experiment.play(runs, cores * 2, said -> {});
                seeds.add(experiment.seeds());
                assertThat(experiment.estimate(0, SimulationResult::valueShare).half())
                        .isLessThanOrEqualTo(0.01);
            }
        }
        assertThat(seeds.get(0)).isBetween(5, 29).isEqualTo(seeds.get(1));
    }

    @Test
    void estimatesAreStudents() {
        ConfidenceInterval estimate = ConfidenceInterval.of(List.of(1.0, 2.0, 3.0, 4.0, 5.0));
        assertThat(estimate.mean()).isEqualTo(3);
        assertThat(estimate.half())
                .isBetween(1.962, 1.964); // 2.776 times 1.5811 over the root of 5
        assertThat(ConfidenceInterval.chance(List.of(1.0, 2.0, 3.0, 4.0, 5.0)))
                .isBetween(0.0130, 0.0135);
        assertThat(ConfidenceInterval.of(List.of(1.0)).half()).isInfinite();
    }

    @Test
    void commandLineTellsFaultsByItsExitCode(@TempDir Path folder) throws Exception {
        Path script = Files.writeString(folder.resolve("small.json5"), SMALL.formatted(""));
        assertThat(SimulateCommand.execute("check", script.toString())).isZero();
        assertThat(
                        SimulateCommand.execute(
                                "run",
                                script.toString(),
                                "--seeds",
                                "2",
                                "--out",
                                folder.resolve("out").toString()))
                .isZero();
        assertThat(folder.resolve("out/report.html")).isNotEmptyFile();
        assertThat(Files.readAllLines(folder.resolve("out/runs.csv"))).hasSize(3);
        assertThat(
                        SimulateCommand.execute(
                                "check",
                                Files.writeString(folder.resolve("bad.json5"), "{").toString()))
                .isEqualTo(2);
        Path strict =
                Files.writeString(
                        folder.resolve("strict.json5"),
                        SMALL.formatted("{ at_s: 1, what: 'die' }")
                                .replace("seconds: 8", "seconds: 8, expect: { value_share: 1 }"));
        assertThat(SimulateCommand.execute("run", strict.toString(), "--seeds", "1")).isEqualTo(1);
    }
}
