package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Short drills of packaged servers with fixed seeds. They wait for the membership views to converge
 * and not for a fixed time.
 */
class DrillTest {
    private static final Path SCRIPTS =
            Path.of(System.getProperty("drill.root"), "emulator", "scripts", "fleet");

    /** A run is void if the machine was too busy to carry out the scenario; it is then repeated. */
    private static final int MAX_ATTEMPTS = 3;

    @TempDir private Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "cut-heals",
                "returns",
                "while-healing",
                "copies/owner-killed",
                "copies/disks"
            })
    void runMeetsTheExpectationsOfItsScenario(String name) throws Exception {
        FleetScenario scenario = FleetScenarioReader.read(SCRIPTS.resolve(name + ".json5"));
        HistoryChecker checker = null;
        for (int i = 0; i < MAX_ATTEMPTS && (checker == null || checker.isVoid()); i++) {
            checker = Drill.runScenario(scenario, 1, folder.resolve("try-" + i), true, true, true);
        }
        assertThat(checker.isVoid()).as("scenario could not be carried out").isFalse();
        assertThat(checker.violations()).isEmpty();
        assertThat(checker.requestCount()).as("requests sent").isPositive();
        assertThat(Files.size(folder.resolve("try-0").resolve("views.svg"))).isPositive();
    }
}
