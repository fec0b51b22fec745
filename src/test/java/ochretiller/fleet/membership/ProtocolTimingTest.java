package ochretiller.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ProtocolTimingTest {
    private static final ProtocolTiming TIMING = ProtocolTiming.DEFAULT;

    @Test
    void suspicionTimeoutShortensWithEachConfirmation() {
        Duration shortest = TIMING.minSuspicionTimeout(24);

        assertThat(TIMING.suspicionTimeout(24, 4)).isEqualTo(shortest);
        assertThat(TIMING.suspicionTimeout(24, 1)).isEqualTo(shortest.multipliedBy(3));
        assertThat(TIMING.suspicionTimeout(24, 2))
                .isBetween(TIMING.suspicionTimeout(24, 3), TIMING.suspicionTimeout(24, 1));
    }

    @Test
    void suspicionTimeoutGrowsInLargeFleetsButDoesNotShrinkInSmallOnes() {
        Duration shortest = TIMING.minSuspicionTimeout(24);

        assertThat(TIMING.minSuspicionTimeout(1000))
                .isBetween(shortest.multipliedBy(2), shortest.multipliedBy(3));
        assertThat(TIMING.minSuspicionTimeout(3))
                .as("pauses are not shorter in a small fleet")
                .isEqualTo(shortest);
    }
}
