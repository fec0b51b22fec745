package ochretiller.fleet.rollout;

import static ochretiller.fleet.rollout.RolloutFixture.counters;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks how often the test reports a regression, with and without a difference. */
class CanaryComparisonTest {
    /**
     * Evaluates the test after each small step for the maximum length of a stage, and returns
     * whether it ever reports a regression.
     */
    private static boolean reportsRegression(
            SplittableRandom random, double candidateRate, double baselineRate, int step) {
        VersionCounters candidate = VersionCounters.ZERO;
        VersionCounters baseline = VersionCounters.ZERO;
        for (int evaluation = 0; evaluation < 200; evaluation++) {
            // Errors come in bursts that affect the candidate and the baseline together.
            double burst = random.nextInt(20) == 0 ? 3 : 1;
            candidate =
                    candidate.plus(
                            randomCounters(random, step, Math.min(0.9, candidateRate * burst)));
            baseline =
                    baseline.plus(randomCounters(random, 60, Math.min(0.9, baselineRate * burst)));
            if (CanaryComparison.findRegression(candidate, baseline).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static VersionCounters randomCounters(
            SplittableRandom random, int answered, double errorRate) {
        int errored = 0;
        for (int i = 0; i < answered; i++) {
            if (random.nextDouble() < errorRate) {
                errored++;
            }
        }
        return counters(answered, errored);
    }

    @Test
    void harmlessVersionsAreStoppedWithinTheStatedProbability() {
        SplittableRandom random = new SplittableRandom(11);
        int stopped = 0;
        for (int i = 0; i < 1_000; i++) {
            double rate = 0.02 + 0.2 * (i % 5) / 5;
            if (reportsRegression(random, rate, rate, 3 + i % 30)) {
                stopped++;
            }
        }
        assertThat(stopped)
                .isLessThanOrEqualTo((int) (1_000 * CanaryComparison.FALSE_ALARM_PROBABILITY));
    }

    @Test
    void harmfulVersionsAreStoppedAtTheFirstStage() {
        SplittableRandom random = new SplittableRandom(12);
        int stopped = 0;
        for (int i = 0; i < 200; i++) {
            if (reportsRegression(random, 0.25, 0.02, 5)) {
                stopped++;
            }
        }
        assertThat(stopped).isGreaterThan(190);
    }
}
