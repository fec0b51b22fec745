package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Kills, pauses or cuts off servers at each step of an invocation and checks the outcomes. */
class FailoverScenarioTest {
    @TempDir private Path folder;

    @Test
    void eachCaseHasTheExpectedOutcome() throws Exception {
        try (FailoverScenario scenario = new FailoverScenario(folder, true, line -> {})) {
            assertThat(scenario.run()).isEmpty();
        }
    }
}
