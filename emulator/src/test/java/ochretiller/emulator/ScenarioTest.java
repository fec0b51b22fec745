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
    private static final String SMALL_SCRIPT =
            """
            { seconds: 8, fleet: { boxes: 3, boot_s: 1, cold_s: 2 }, gateways: { count: 3, list_s: 0.5 },
              operations: [ { name: 'read', work_ms: 20, objective_ms: 500, timeout_ms: 1500 },
                { name: 'order', effect: 'tokened', work_ms: 30, calls: true, objective_ms: 1000, timeout_ms: 3000, value: 5,
                  window_ms: 8000, repeats: 1, back_s: 3 } ],
              traffic: { per_second: 60, callers: 20 }, incidents: [ %s ] }\
            """;

    private static Scenario smallScenario(String incidents) {
        return ScenarioReader.parse(SMALL_SCRIPT.formatted(incidents), "small");
    }

    private static String summary(SimulationResult result) {
        StringBuilder summary =
                new StringBuilder()
                        .append(result.valueShare())
                        .append(' ')
                        .append(result.executedEvents());
        result.totalsPerSecond()
                .forEach(
                        each ->
                                summary.append(' ')
                                        .append(each.succeeded)
                                        .append('/')
                                        .append(each.attempts));
        return summary.toString();
    }

    @Test
    void sameSeedGivesSameResultOnOneThreadAndOnMany() throws Exception {
        Scenario scenario =
                smallScenario(
                        "{ at_s: 3, what: 'die', share: 0.4 },"
                                + " { at_s: 4, what: 'burst', for_s: 2 }");
        List<ParallelRunner.Run> runs =
                Stream.iterate(1L, seed -> seed + 1)
                        .limit(12)
                        .map(seed -> new ParallelRunner.Run(scenario, seed))
                        .toList();
        try (ParallelRunner singleThreaded = new ParallelRunner(1);
                ParallelRunner multiThreaded = new ParallelRunner(8)) {
            List<String> expected =
                    singleThreaded.runAll(runs).stream().map(ScenarioTest::summary).toList();
            assertThat(multiThreaded.runAll(runs).stream().map(ScenarioTest::summary).toList())
                    .isEqualTo(expected);
            assertThat(expected).doesNotHaveDuplicates();
        }
    }

    @Test
    void incidentWithZeroShareChangesNothing() {
        assertThat(
                        summary(
                                        new Simulation(
                                                        smallScenario(
                                                                "{ at_s: 3, what: 'slow', share: 0,"
                                                                        + " for_s: 3 }"),
                                                        5)
                                                .run())
                                .replaceAll(" \\d+ ", " "))
                .isEqualTo(
                        summary(new Simulation(smallScenario(""), 5).run())
                                .replaceAll(" \\d+ ", " "));
    }

    static Stream<Path> scripts() throws IOException {
        return Files.list(Path.of("scripts")).filter(Files::isRegularFile).sorted();
    }

    /** Runs each script of the folder with a fixed seed, as the short rehearsal of CI. */
    @ParameterizedTest
    @MethodSource("scripts")
    void rulesHoldInEachScript(Path file) {
        SimulationResult result = new Simulation(ScenarioReader.read(file), 3).run();
        assertThat(result.rules().violations()).isEmpty();
        assertThat(result.rules().runs()).isGreaterThan(1_000);
        assertThat(result.valueShare()).isBetween(0.3, 1.0);
    }

    @Test
    void incidentsReduceValueAndServiceRecovers() {
        SimulationResult undisturbed = new Simulation(smallScenario(""), 1).run();
        assertThat(undisturbed.valueShare()).isGreaterThan(0.95);
        for (String incident :
                List.of(
                        "{ at_s: 2, what: 'pause', share: 1, for_s: 2 }",
                        "{ at_s: 2, what: 'cut', share: 1, for_s: 2 }",
                        "{ at_s: 2, what: 'die', share: 1, for_s: 1 }",
                        "{ at_s: 2, what: 'fail', share: 1, for_s: 2, strength: 1 }",
                        "{ at_s: 2, what: 'slow', share: 1, for_s: 2, strength: 8 }",
                        "{ at_s: 2, what: 'ledger-down', for_s: 2 }",
                        "{ at_s: 2, what: 'ledger-slow', for_s: 2, strength: 200 }")) {
            SimulationResult disturbed = new Simulation(smallScenario(incident), 1).run();
            assertThat(disturbed.valueShare())
                    .as(incident)
                    .isLessThan(undisturbed.valueShare() - 0.02);
            assertThat(disturbed.totalsPerSecond().get(7).succeeded).as(incident).isPositive();
        }
    }

    @Test
    void keyedRetriesAfterRestartAreAnsweredFromDurableRecords() {
        String incidents =
                "{ at_s: 2, what: 'die', share: 0.4 }, { at_s: 4, what: 'die', share: 0.4 }";
        Scenario durableScenario =
                ScenarioReader.parse(
                        SMALL_SCRIPT
                                .formatted(incidents)
                                .replace("boxes: 3", "boxes: 3, remembers: true"),
                        "small");
        SimulationResult result = new Simulation(durableScenario, 2).run();
        assertThat(result.serverCrashes()).isEqualTo(4);
        assertThat(result.rules().violations()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{ seconds: 8 }",
                "{ at_s: 1, what: 'flood' }",
                "{ at_s: 1, what: 'die', share: 2 }"
            })
    void schemaErrorIsReportedWithLineAndColumn(String scriptOrIncident) {
        String text =
                scriptOrIncident.startsWith("{ seconds")
                        ? scriptOrIncident
                        : SMALL_SCRIPT.formatted(scriptOrIncident);
        assertThatThrownBy(() -> ScenarioReader.parse(text, "x"))
                .isInstanceOf(MalformedException.class)
                .hasMessageMatching("(?s)x:\\d+:\\d+: .*");
    }

    @Test
    void inconsistentScriptIsRejected() {
        assertThatThrownBy(() -> smallScenario("{ at_s: 9, what: 'die' }"))
                .hasMessageContaining("not before the end of the run");
        assertThatThrownBy(
                        () ->
                                ScenarioReader.parse(
                                        SMALL_SCRIPT
                                                .formatted("")
                                                .replace("name: 'order'", "name: 'read'"),
                                        "x"))
                .hasMessageContaining("duplicate operation");
    }

    @Test
    void drawnIncidentsAreValidAndTheWorstRunIsShrunk(@TempDir Path folder) throws Exception {
        Scenario base = smallScenario("");
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 200; i++) {
            for (Scenario.Incident each : RandomIncidents.draw(base, random)) {
                assertThat(each.atS()).isBetween(0.0, 8.0);
                assertThat(each.what()).isNotEqualTo("disk-stall");
            }
        }
        try (ParallelRunner runner = new ParallelRunner(4)) {
            FaultSearch search = new FaultSearch(runner, base, 1);
            FaultSearch.Finding finding = search.search(8, 8, message -> {});
            FaultSearch.Finding shrunk = search.shrink(finding, message -> {});
            assertThat(shrunk.scenario().incidents().size())
                    .isLessThanOrEqualTo(finding.scenario().incidents().size());
            assertThat(new Simulation(shrunk.scenario(), shrunk.seed()).run().valueShare())
                    .isEqualTo(shrunk.valueShare());
        }
    }

    @Test
    void variantOverridesSectionMembersOrSettings(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("small.json5"), SMALL_SCRIPT.formatted(""));
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
    void experimentStopsAtTargetPrecisionForAnyThreadCount() throws Exception {
        Scenario scenario = smallScenario("");
        List<Integer> seedCounts = new java.util.ArrayList<>();
        for (int cores : new int[] {1, 4}) {
            try (ParallelRunner runner = new ParallelRunner(cores)) {
                Experiment experiment =
                        new Experiment(
                                List.of(scenario), 1, 30, 0.01, SimulationResult::valueShare);
                experiment.run(runner, cores * 2, message -> {});
                seedCounts.add(experiment.seedCount());
                assertThat(experiment.estimate(0, SimulationResult::valueShare).halfWidth())
                        .isLessThanOrEqualTo(0.01);
            }
        }
        assertThat(seedCounts.get(0)).isBetween(5, 29).isEqualTo(seedCounts.get(1));
    }

    @Test
    void intervalAndPValueFollowStudentsT() {
        ConfidenceInterval interval = ConfidenceInterval.of(List.of(1.0, 2.0, 3.0, 4.0, 5.0));
        assertThat(interval.mean()).isEqualTo(3);
        assertThat(interval.halfWidth()).isBetween(1.962, 1.964); // 2.776 * 1.5811 / sqrt(5)
        assertThat(ConfidenceInterval.pValue(List.of(1.0, 2.0, 3.0, 4.0, 5.0)))
                .isBetween(0.0130, 0.0135);
        assertThat(ConfidenceInterval.of(List.of(1.0)).halfWidth()).isInfinite();
    }

    @Test
    void exitCodeReportsFailures(@TempDir Path folder) throws Exception {
        Path script = Files.writeString(folder.resolve("small.json5"), SMALL_SCRIPT.formatted(""));
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
        Path strictScript =
                Files.writeString(
                        folder.resolve("strict.json5"),
                        SMALL_SCRIPT
                                .formatted("{ at_s: 1, what: 'die' }")
                                .replace("seconds: 8", "seconds: 8, expect: { value_share: 1 }"));
        assertThat(SimulateCommand.execute("run", strictScript.toString(), "--seeds", "1"))
                .isEqualTo(1);
    }
}
