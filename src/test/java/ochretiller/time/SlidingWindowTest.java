package ochretiller.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class SlidingWindowTest {
    private static final Duration BUCKET = Duration.ofMillis(500);

    private final SlidingWindow window = new SlidingWindow(BUCKET, 4);

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void meanIsTheSumOfTheSamplesOverTheSumOfTheirWeights() {
        window.add(millis(0), 6, 1);
        window.add(millis(600), 4, 4);
        assertThat(window.sum(millis(600))).isEqualTo(10);
        assertThat(window.weight(millis(600))).isEqualTo(5);
        assertThat(window.mean(millis(600), 0)).isEqualTo(2);
    }

    @Test
    void windowWithoutSamplesHasTheDefaultAsItsMean() {
        assertThat(window.mean(millis(0), 7)).isEqualTo(7);
    }

    @Test
    void samplesExpireByWholeBuckets() {
        window.add(millis(100), 1, 1);
        window.add(millis(700), 2, 1);
        assertThat(window.sum(millis(1_999))).isEqualTo(3);
        assertThat(window.sum(millis(2_000))).isEqualTo(2);
        assertThat(window.sum(millis(2_500))).isZero();
    }

    @Test
    void longPauseEmptiesTheWholeWindow() {
        window.add(millis(100), 1, 1);
        assertThat(window.sum(millis(1_000_000))).isZero();
        assertThat(window.mean(millis(1_000_000), 3)).isEqualTo(3);
    }

    @Test
    void clearRemovesAllSamples() {
        window.add(millis(100), 1, 1);
        window.clear();
        assertThat(window.sum(millis(100))).isZero();
        assertThat(window.weight(millis(100))).isZero();
    }
}
