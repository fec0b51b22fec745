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
 * The models of cores and records service against what queueing theory has for them. Seeds are
 * fixed: the verdict is, too.
 */
class QueueingTheoryTest {
    private static final int BATCHES = 30;

    /** Enough that intervals are under three hundredths at loads of 0.9. */
    private static final int COUNT = 4_000_000;

    private static final double NARROW = 0.03;
    private final EventQueue events = new EventQueue();

    /** Mean of batches of times, and half of its 99 % interval. */
    private record Mean(double mean, double half) {
        private void holds(double theory) {
            assertThat(theory)
                    .as("theory beside %.4f ± %.4f", mean, half)
                    .isBetween(mean - half, mean + half);
            assertThat(half / mean).as("an interval that can tell").isLessThan(NARROW);
        }
    }

    /** Times as they come. */
    private static final class Times {
        private final double[] all = new double[COUNT];
        private int count;

        private void add(double time) {
            all[count++] = time;
        }
    }

    private static Mean mean(Times times) {
        SummaryStatistics batches = new SummaryStatistics();
        int first = times.count / 10; // the system fills
        int size = (times.count - first) / BATCHES;
        for (int batch = 0; batch < BATCHES; batch++) {
            double sum = 0;
            for (int i = first + batch * size; i < first + (batch + 1) * size; i++) {
                sum += times.all[i];
            }
            batches.addValue(sum / size);
        }
        double t = new TDistribution(BATCHES - 1).inverseCumulativeProbability(0.995);
        return new Mean(batches.getMean(), t * batches.getStandardDeviation() / Math.sqrt(BATCHES));
    }

    private void arrive(int count, double rate, SplittableRandom chance, Runnable each) {
        if (count == 0) {
            return;
        }
        events.after(
                RandomStreams.exponential(chance, 1 / rate),
                () -> {
                    each.run();
                    arrive(count - 1, rate, chance, each);
                });
    }

    /** Times in the system of jobs on shared cores. */
    private Mean sojourn(int cores, double load, DoubleSupplier work) {
        CpuModel shared = new CpuModel(events, cores, 1e9, 0, 1, 0, false);
        Times times = new Times();
        arrive(
                COUNT,
                load * cores,
                new SplittableRandom(1),
                () -> {
                    double began = events.seconds();
                    shared.add(work.getAsDouble(), () -> times.add(events.seconds() - began));
                });
        events.run(1e8);
        assertThat(times.count).isEqualTo(COUNT);
        return mean(times);
    }

    /**
     * Shared by turns without loss, the mean time depends on the mean of the work alone: 1 over 1
     * less the load.
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
    void oneSharedCore(String kind, double load) {
        SplittableRandom chance = new SplittableRandom(2);
        DoubleSupplier work =
                kind.equals("fixed")
                        ? () -> 1
                        : kind.equals("spread")
                                ? () -> RandomStreams.around(chance, 1, 1)
                                : () -> RandomStreams.exponential(chance, 1);
        sojourn(1, load, work).holds(1 / (1 - load));
    }

    /** The chance that one has to wait at c servers, by Erlang's second formula. */
    private static double waits(int servers, double offered) {
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
    void fourSharedCores(double load) {
        SplittableRandom chance = new SplittableRandom(3);
        // As many are there as with four servers and one queue, and so, by Little, the mean time is
        // the same.
        sojourn(4, load, () -> RandomStreams.exponential(chance, 1))
                .holds(1 + waits(4, 4 * load) / (4 * (1 - load)));
    }

    private record Called(Times times, int turnedAway) {}

    private Called calls(int slots, double load, int waits) {
        RecordsServiceModel ledger =
                new RecordsServiceModel(
                        events,
                        new Scenario.Ledger(slots, 1_000, waits, 0, 0),
                        new SplittableRandom(4));
        Times times = new Times();
        int[] away = {0};
        arrive(
                COUNT,
                load * slots,
                new SplittableRandom(5),
                () -> {
                    double began = events.seconds();
                    Consumer<CallOutcome.Status> then =
                            result -> {
                                if (result == CallOutcome.Status.REJECTED) {
                                    away[0]++;
                                } else {
                                    times.add(events.seconds() - began);
                                }
                            };
                    ledger.call(then);
                });
        events.run(1e8);
        return new Called(times, away[0]);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void recordsServiceWithRoomForAll(double load) {
        mean(calls(3, load, 1_000_000).times).holds(1 + waits(3, 3 * load) / (3 * (1 - load)));
    }

    @Test
    void recordsServiceThatTurnsAway() {
        int slots = 3;
        int waits = 4;
        double offered = 3 * 0.9;
        double term = 1;
        double sum = 1;
        for (int i = 1; i <= slots + waits; i++) {
            sum += term *= offered / Math.min(i, slots);
        }
        double lost = calls(slots, 0.9, waits).turnedAway / (double) COUNT;
        assertThat(lost).isBetween(term / sum * 0.98, term / sum * 1.02);
    }

    @Test
    void hundredThousandsThatAreCalledOffTakeNoTimeAndHappenNever() {
        int[] happened = {0};
        for (int i = 0; i < 300_000; i++) {
            EventQueue.Event off = events.after(i * 1e-5, () -> happened[0]++);
            if (i % 100 != 0) {
                off.cancel();
            }
        }
        events.run(10);
        assertThat(happened[0]).isEqualTo(3_000);
        assertThat(events.done()).isEqualTo(3_000);
    }

    @Test
    void coldAndCrowdedCoresAreSlower() {
        CpuModel cold = new CpuModel(events, 1, 2, 0.5, 0.25, 10, true);
        double[] ended = new double[3];
        cold.add(0.25, () -> ended[0] = events.seconds());
        events.run(20);
        assertThat(ended[0])
                .as("at a quarter of its speed, and a little more")
                .isBetween(0.85, 1.0);
        CpuModel crowded = new CpuModel(events, 1, 2, 0.5, 1, 0, false);
        double from = events.seconds();
        for (int i = 0; i < 4; i++) {
            crowded.add(1, () -> ended[1] = events.seconds() - from);
        }
        events.run(60);
        assertThat(ended[1])
                .as("four on one core, past a crowd of two: a third of the speed is lost")
                .isBetween(5.99, 6.01);
        CpuModel stands = new CpuModel(events, 1, 2, 0, 1, 0, false);
        double then = events.seconds();
        stands.add(1, () -> ended[2] = events.seconds() - then);
        stands.pause(true);
        events.run(then + 5);
        stands.pause(false);
        events.run(then + 9);
        assertThat(ended[2]).isBetween(5.999, 6.001);
    }
}
