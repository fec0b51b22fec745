package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.ResourceGauges;
import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
    private static final int CORES = 6;
    private static final double SURVIVABLE_MULTIPLE = 8;
    private static final Duration WINDOW = Duration.ofMillis(500);

    /** Ticks at the end of each given window, during all of which only the limit delays work. */
    private static void tickWhileLimiting(
            ConcurrencyLimiter limiter, int firstWindow, int lastWindow, double cpuUtilization) {
        for (int window = firstWindow; window <= lastWindow; window++) {
            limiter.onTick(WINDOW.multipliedBy(window), gauges(cpuUtilization), true);
        }
    }

    private static ResourceGauges gauges(double cpuUtilization) {
        return new ResourceGauges(cpuUtilization, 6, 0.2, 1);
    }

    private static ConcurrencyLimiter warmLimiter() {
        return new ConcurrencyLimiter(CORES, SURVIVABLE_MULTIPLE, SlowStart.NONE);
    }

    private static void endRuns(ConcurrencyLimiter limiter, int runs) {
        for (int i = 0; i < runs; i++) {
            limiter.onRunSucceeded();
        }
    }

    @Test
    void limitStartsAtCoreCountAndGrowsByDoublingSteps() {
        ConcurrencyLimiter limiter = warmLimiter();
        assertThat(limiter.currentLimit(Duration.ZERO)).isEqualTo(6);
        tickWhileLimiting(limiter, 1, 2, 0.5);
        assertThat(limiter.currentLimit(SECOND)).isEqualTo(9);
    }

    @Test
    void limitDoesNotGrowOnSpareCapacityMeasuredBelowTheLimit() {
        ConcurrencyLimiter limiter = warmLimiter();
        limiter.onTick(Duration.ofMillis(400), gauges(0.5), false);
        limiter.onTick(Duration.ofMillis(500), gauges(0.5), true);
        assertThat(limiter.currentLimit(SECOND)).isEqualTo(6);
    }

    @Test
    void limitStaysBelowTheConcurrencyThatAColdServerSurvives() {
        SlowStart slowStart = new SlowStart(0.2, SECOND.multipliedBy(10));
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(CORES, SURVIVABLE_MULTIPLE, slowStart);
        tickWhileLimiting(limiter, 1, 9, 0.5);
        assertThat(limiter.currentLimit(Duration.ZERO)).isLessThan((int) (6 * (1 + 7 * 0.2)));
        assertThat(limiter.currentLimit(SECOND.multipliedBy(10))).isLessThan(48);
    }

    @Test
    void limitShrinksOnlyWhenThroughputFallsOnBusyCores() {
        ConcurrencyLimiter limiter = warmLimiter();
        tickWhileLimiting(limiter, 1, 1, 0.5);
        endRuns(limiter, 20);
        tickWhileLimiting(limiter, 2, 2, 0.99);
        assertThat(limiter.currentLimit(SECOND)).isEqualTo(7);
        endRuns(limiter, 16);
        tickWhileLimiting(limiter, 5, 5, 0.99);
        assertThat(limiter.currentLimit(SECOND)).isEqualTo(6);
    }
}
