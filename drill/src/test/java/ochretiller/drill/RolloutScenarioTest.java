package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Versions brought out to packaged servers, with a fault at a step of each. */
class RolloutScenarioTest {
    @TempDir private Path folder;

    @Test
    void eachVersionComesOutAsItHasTo() throws Exception {
        try (RolloutScenario steps = new RolloutScenario(folder, line -> {})) {
            assertThat(steps.play()).isEmpty();
        }
    }
}
