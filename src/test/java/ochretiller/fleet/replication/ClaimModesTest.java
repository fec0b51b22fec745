package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.WINDOW;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks which operations are claimed, and for how long during a change to server mode. */
class ClaimModesTest {
    private final Duration now = Duration.ofSeconds(5);

    @Test
    void serverStopsClaimingWhenNoNonTransitionalClaimCanExist() {
        ClaimModeSettings settings =
                new ClaimModeSettings(ClaimMode.SERVER, Map.of("order", ClaimMode.FLEET));
        ClaimModes modes = new ClaimModes(settings, WINDOW, now);
        assertThat(modes.requirementFor("order", now)).isEqualTo(ClaimRequirement.REQUIRED);
        assertThat(modes.requirementFor("other", now))
                .isEqualTo(ClaimRequirement.REQUIRED_TRANSITIONALLY);
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .isEqualTo(ClaimRequirement.NOT_REQUIRED);
        modes.recordObservedClaim("order", false, now.plusSeconds(15));
        modes.recordObservedClaim("other", true, now.plusSeconds(15));
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .as("neither a claim in fleet mode nor a transitional claim prolongs it")
                .isEqualTo(ClaimRequirement.NOT_REQUIRED);
        modes.recordObservedClaim("other", false, now.plusSeconds(15));
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .as("another server still claims the operation")
                .isEqualTo(ClaimRequirement.REQUIRED_TRANSITIONALLY);
        assertThat(modes.requirementFor("other", now.plusSeconds(15).plus(WINDOW)))
                .isEqualTo(ClaimRequirement.NOT_REQUIRED);
    }
}
