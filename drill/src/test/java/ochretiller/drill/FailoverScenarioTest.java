package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Servers that are killed and paused at each step of an invocation. */
class FailoverScenarioTest {
    @TempDir private Path folder;

    @Test
    void eachStepComesOutAsItHasTo() throws Exception {
        try (FailoverScenario steps = new FailoverScenario(folder, true, line -> {})) {
            assertThat(steps.play()).isEmpty();
        }
    }
}
