package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Rolls out versions to packaged servers with a fault in most rollouts and checks the outcomes. */
class RolloutScenarioTest {
    @TempDir private Path folder;

    @Test
    void eachRolloutHasTheExpectedOutcome() throws Exception {
        try (RolloutScenario scenario = new RolloutScenario(folder, line -> {})) {
            assertThat(scenario.run()).isEmpty();
        }
    }
}
