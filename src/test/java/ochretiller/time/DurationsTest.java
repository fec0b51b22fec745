package ochretiller.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DurationsTest {
    private static final Duration SHORT = Duration.ofMillis(1_250);
    private static final Duration LONG = Duration.ofMillis(1_500);

    @Test
    void conversionToAndFromSecondsRetainsFractions() {
        assertThat(Durations.inSeconds(SHORT)).isEqualTo(1.25);
        assertThat(Durations.ofSeconds(1.25)).isEqualTo(SHORT);
    }

    @Test
    void durationOfVeryManySecondsIsLimitedToElevenDays() {
        assertThat(Durations.ofSeconds(1e300)).isEqualTo(Duration.ofSeconds(1_000_000));
    }

    @Test
    void minMaxAndIsAfterCompareDurations() {
        assertThat(Durations.min(LONG, SHORT)).isEqualTo(SHORT);
        assertThat(Durations.max(LONG, SHORT)).isEqualTo(LONG);
        assertThat(Durations.isAfter(LONG, SHORT)).isTrue();
        assertThat(Durations.isAfter(SHORT, SHORT)).isFalse();
    }

    @Test
    void timeUntilIsZeroAfterThePoint() {
        assertThat(Durations.timeUntil(LONG, SHORT)).isEqualTo(Duration.ofMillis(250));
        assertThat(Durations.timeUntil(SHORT, LONG)).isEqualTo(Duration.ZERO);
    }
}
