package ochretiller.emulator.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.CallOutcome;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the models of cores and of the records service against queueing theory. Seeds are fixed,
 * so the result is the same in every run.
 */
class QueueingTheoryTest {
    private static final int BATCH_COUNT = 30;

    /** Keeps the relative half-width of the interval below 0.03 at a load of 0.9. */
    private static final int SAMPLE_COUNT = 4_000_000;

    private static final double MAX_RELATIVE_HALF_WIDTH = 0.03;
    private final EventQueue events = new EventQueue();

    /** Mean of the batch means, and half the width of its 99 % confidence interval. */
    private record Mean(double mean, double halfWidth) {
        private void assertContains(double expected) {
            assertThat(expected)
                    .as("expected mean, measured %.4f ± %.4f", mean, halfWidth)
                    .isBetween(mean - halfWidth, mean + halfWidth);
            assertThat(halfWidth / mean)
                    .as("relative half-width of the interval")
                    .isLessThan(MAX_RELATIVE_HALF_WIDTH);
        }
    }

    /** Measured durations in the order in which they ended, seconds. */
    private static final class Durations {
        private final double[] values = new double[SAMPLE_COUNT];
        private int count;

        private void add(double time) {
            values[count++] = time;
        }
    }

    private static Mean mean(Durations durations) {
        SummaryStatistics batchMeans = new SummaryStatistics();
        int warmUp = durations.count / 10; // until the system is in a steady state
        int batchSize = (durations.count - warmUp) / BATCH_COUNT;
        for (int batch = 0; batch < BATCH_COUNT; batch++) {
            double sum = 0;
            for (int i = warmUp + batch * batchSize; i < warmUp + (batch + 1) * batchSize; i++) {
                sum += durations.values[i];
            }
            batchMeans.addValue(sum / batchSize);
        }
        double t = new TDistribution(BATCH_COUNT - 1).inverseCumulativeProbability(0.995);
        return new Mean(
                batchMeans.getMean(),
                t * batchMeans.getStandardDeviation() / Math.sqrt(BATCH_COUNT));
    }

    private void arrive(int count, double rate, SplittableRandom random, Runnable onArrival) {
        if (count == 0) {
            return;
        }
        events.schedule(
                RandomStreams.exponential(random, 1 / rate),
                () -> {
                    onArrival.run();
                    arrive(count - 1, rate, random, onArrival);
                });
    }

    /** Simulates jobs on shared cores and returns the mean of their sojourn times. */
    private Mean meanSojournTime(int cores, double load, DoubleSupplier work) {
        CpuModel cpu = new CpuModel(events, cores, 1e9, 0, 1, 0, false);
        Durations durations = new Durations();
        arrive(
                SAMPLE_COUNT,
                load * cores,
                new SplittableRandom(1),
                () -> {
                    double startedAt = events.nowSeconds();
                    cpu.add(
                            work.getAsDouble(),
                            () -> durations.add(events.nowSeconds() - startedAt));
                });
        events.runUntil(1e8);
        assertThat(durations.count).isEqualTo(SAMPLE_COUNT);
        return mean(durations);
    }

    /**
     * Under processor sharing without overload losses, the mean sojourn time depends only on the
     * mean of the work and the load: it is 1 / (1 - load) for a mean of 1.
     */
    @ParameterizedTest
    @CsvSource({
        "exponential, 0.3",
        "exponential, 0.6",
        "exponential, 0.9",
        "fixed, 0.3",
        "fixed, 0.6",
        "fixed, 0.9",
        "spread, 0.3",
        "spread, 0.8"
    })
    void oneSharedCoreMatchesProcessorSharing(String kind, double load) {
        SplittableRandom random = new SplittableRandom(2);
        DoubleSupplier work =
                kind.equals("fixed")
                        ? () -> 1
                        : kind.equals("spread")
                                ? () -> RandomStreams.logNormal(random, 1, 1)
                                : () -> RandomStreams.exponential(random, 1);
        meanSojournTime(1, load, work).assertContains(1 / (1 - load));
    }

    /** Returns the probability of having to wait for a server, by the Erlang C formula. */
    private static double waitProbability(int servers, double offered) {
        double term = 1;
        double sum = 1;
        for (int i = 1; i < servers; i++) {
            sum += term *= offered / i;
        }
        double last = term * offered / servers * servers / (servers - offered);
        return last / (sum + last);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void fourSharedCoresMatchErlangC(double load) {
        SplittableRandom random = new SplittableRandom(3);
        // The number of jobs in the system is distributed as with four servers and one queue, so by
        // Little's law the mean sojourn time is the same.
        meanSojournTime(4, load, () -> RandomStreams.exponential(random, 1))
                .assertContains(1 + waitProbability(4, 4 * load) / (4 * (1 - load)));
    }

    private record CallResults(Durations durations, int rejectedCount) {}

    private CallResults simulateCalls(int slots, double load, int queueCapacity) {
        RecordsServiceModel service =
                new RecordsServiceModel(
                        events,
                        new Scenario.RecordsService(slots, 1_000, queueCapacity, 0, 0),
                        new SplittableRandom(4));
        Durations durations = new Durations();
        int[] rejected = {0};
        arrive(
                SAMPLE_COUNT,
                load * slots,
                new SplittableRandom(5),
                () -> {
                    double startedAt = events.nowSeconds();
                    Consumer<CallOutcome.Status> onOutcome =
                            result -> {
                                if (result == CallOutcome.Status.REJECTED) {
                                    rejected[0]++;
                                } else {
                                    durations.add(events.nowSeconds() - startedAt);
                                }
                            };
                    service.call(onOutcome);
                });
        events.runUntil(1e8);
        return new CallResults(durations, rejected[0]);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void recordsServiceWithLongQueueMatchesErlangC(double load) {
        mean(simulateCalls(3, load, 1_000_000).durations)
                .assertContains(1 + waitProbability(3, 3 * load) / (3 * (1 - load)));
    }

    @Test
    void recordsServiceRejectsTheExpectedShare() {
        int slots = 3;
        int queueCapacity = 4;
        double offered = 3 * 0.9;
        double term = 1;
        double sum = 1;
        for (int i = 1; i <= slots + queueCapacity; i++) {
            sum += term *= offered / Math.min(i, slots);
        }
        double rejectedShare =
                simulateCalls(slots, 0.9, queueCapacity).rejectedCount / (double) SAMPLE_COUNT;
        assertThat(rejectedShare).isBetween(term / sum * 0.98, term / sum * 1.02);
    }

    @Test
    void manyCancelledEventsAreNotExecuted() {
        int[] executed = {0};
        for (int i = 0; i < 300_000; i++) {
            EventQueue.Event event = events.schedule(i * 1e-5, () -> executed[0]++);
            if (i % 100 != 0) {
                event.cancel();
            }
        }
        events.runUntil(10);
        assertThat(executed[0]).isEqualTo(3_000);
        assertThat(events.executedEvents()).isEqualTo(3_000);
    }

    @Test
    void coldCrowdedAndPausedCoresAreSlower() {
        CpuModel cold = new CpuModel(events, 1, 2, 0.5, 0.25, 10, true);
        double[] elapsed = new double[3];
        cold.add(0.25, () -> elapsed[0] = events.nowSeconds());
        events.runUntil(20);
        assertThat(elapsed[0])
                .as("duration at a quarter of full speed or slightly more")
                .isBetween(0.85, 1.0);
        CpuModel crowded = new CpuModel(events, 1, 2, 0.5, 1, 0, false);
        double crowdedStart = events.nowSeconds();
        for (int i = 0; i < 4; i++) {
            crowded.add(1, () -> elapsed[1] = events.nowSeconds() - crowdedStart);
        }
        events.runUntil(60);
        assertThat(elapsed[1])
                .as("four jobs on one core, with an overload slowdown of 1.5")
                .isBetween(5.99, 6.01);
        CpuModel paused = new CpuModel(events, 1, 2, 0, 1, 0, false);
        double pausedStart = events.nowSeconds();
        paused.add(1, () -> elapsed[2] = events.nowSeconds() - pausedStart);
        paused.setPaused(true);
        events.runUntil(pausedStart + 5);
        paused.setPaused(false);
        events.runUntil(pausedStart + 9);
        assertThat(elapsed[2]).isBetween(5.999, 6.001);
    }
}
