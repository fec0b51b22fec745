package ochretiller.pools;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.Test;

class WorkerSelectorTest {
    private static final PoolSettings SETTINGS =
            new PoolSettings(4, 3, 0.5, ms(1_000), ms(4_000), 2, Duration.ZERO, 0.1, 2);
    private final WorkerSelector pool = new WorkerSelector(SETTINGS, new SplittableRandom(1));
    private final WorkerId a = new WorkerId("a");
    private final WorkerId b = new WorkerId("b");

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private void fail(WorkerId id, int times, Duration now) {
        for (int i = 0; i < times; i++) {
            assertThat(pool.choose(now)).contains(id);
            pool.ended(id, RequestOutcome.FAILED, ms(1), now);
        }
    }

    @Test
    void eachHasItsMostAndThenNobodyIsThere() {
        pool.become(List.of(a, b), ms(0));
        for (int i = 0; i < 8; i++) {
            assertThat(pool.choose(ms(0))).isPresent();
        }
        assertThat(pool.inFlight(a)).isEqualTo(4);
        assertThat(pool.choose(ms(0))).isEmpty();
        pool.ended(b, RequestOutcome.ANSWERED, ms(10), ms(10));
        assertThat(pool.choose(ms(10))).contains(b);
    }

    @Test
    void oneThatTheFleetDoesNotSeeGetsNothingWhileOthersAreLeft() {
        pool.become(List.of(a, b), ms(0));
        pool.seen(a, false);
        for (int i = 0; i < 4; i++) {
            assertThat(pool.choose(ms(0))).contains(b);
        }
        assertThat(pool.choose(ms(0))).as("a view is an opinion: nobody else is left").contains(a);
        pool.seen(b, false);
        pool.ended(b, RequestOutcome.ANSWERED, ms(1), ms(1));
        pool.seen(a, true);
        assertThat(pool.choose(ms(1))).contains(a);
    }

    @Test
    void oneThatFailsIsLeftOutTriedByFewAndLetInAgain() {
        pool.add(a, ms(0));
        fail(a, 3, ms(0));
        assertThat(pool.choose(ms(999))).isEmpty();
        assertThat(pool.choose(ms(1_000))).contains(a);
        assertThat(pool.choose(ms(1_000))).contains(a);
        assertThat(pool.choose(ms(1_000))).as("two probes at once").isEmpty();
        pool.ended(a, RequestOutcome.ANSWERED, ms(10), ms(1_010));
        assertThat(pool.in(a)).isFalse();
        pool.ended(a, RequestOutcome.ANSWERED, ms(10), ms(1_010));
        assertThat(pool.in(a)).isTrue();
    }

    @Test
    void probesThatFailDoubleTheTimeOut() {
        pool.add(a, ms(0));
        fail(a, 3, ms(0));
        long at = 1_000;
        for (long out : new long[] {2_000, 4_000, 4_000}) {
            assertThat(pool.choose(ms(at))).contains(a);
            pool.ended(a, RequestOutcome.SILENT, ms(10), ms(at));
            assertThat(pool.choose(ms(at + out - 1))).isEmpty();
            at += out;
        }
    }

    @Test
    void drainedOneEndsWhatItHasAndIsForgotten() {
        pool.add(a, ms(0));
        pool.choose(ms(0));
        pool.become(List.of(b), ms(0));
        assertThat(pool.size()).isEqualTo(2);
        assertThat(pool.choose(ms(0))).contains(b);
        pool.ended(a, RequestOutcome.ANSWERED, ms(10), ms(10));
        assertThat(pool.size()).isEqualTo(1);
    }

    @Test
    void onlyWhatNeverBeganGoesElsewhereAndOnlyWithinTheBudget() {
        pool.become(List.of(a, b), ms(0));
        pool.choose(ms(0));
        for (RequestOutcome end :
                new RequestOutcome[] {
                    RequestOutcome.ANSWERED, RequestOutcome.FAILED, RequestOutcome.SILENT
                }) {
            assertThat(pool.chooseAgain(a, end, ms(0))).isEmpty();
        }
        assertThat(pool.chooseAgain(a, RequestOutcome.NEVER_BEGUN, ms(0))).contains(b);
        assertThat(pool.chooseAgain(a, RequestOutcome.NEVER_BEGUN, ms(0))).contains(b);
        assertThat(pool.chooseAgain(a, RequestOutcome.NEVER_BEGUN, ms(0)))
                .as("two were saved up")
                .isEmpty();
        int again = 0;
        for (int i = 0; i < 1_000; i++) {
            pool.choose(ms(i))
                    .ifPresent(id -> pool.ended(id, RequestOutcome.ANSWERED, ms(1), ms(1)));
            if (pool.chooseAgain(a, RequestOutcome.NEVER_BEGUN, ms(i)).isPresent()) {
                again++;
            }
            pool.ended(b, RequestOutcome.ANSWERED, ms(1), ms(i));
        }
        assertThat(again).isBetween(90, 101);
    }

    @Test
    void freshOneComesToItsPartSlowly() {
        WorkerSelector slow =
                new WorkerSelector(
                        new PoolSettings(20, 3, 0.5, ms(1_000), ms(4_000), 2, ms(10_000), 0.1, 2),
                        new SplittableRandom(1));
        slow.add(a, ms(0));
        int at0 = 0;
        while (slow.choose(ms(0)).isPresent()) {
            at0++;
        }
        int at5 = at0;
        while (slow.choose(ms(5_000)).isPresent()) {
            at5++;
        }
        assertThat(at0).isEqualTo(2);
        assertThat(at5).isEqualTo(10);
    }

    @Test
    void placesAreThoseOfWorkersAsTheyAre() {
        pool.become(List.of(a, b), ms(0));
        assertThat(pool.places(ms(0))).isEqualTo(8);
        pool.choose(ms(0));
        assertThat(pool.free(ms(0))).isEqualTo(7);
        pool.drain(b);
        assertThat(pool.places(ms(0))).isEqualTo(4);
    }

    @Test
    void onlyWorkersThatComeLaterComeSlowly() {
        WorkerSelector slow =
                new WorkerSelector(
                        new PoolSettings(10, 3, 0.5, ms(1_000), ms(4_000), 2, ms(1_000), 0.1, 2),
                        new SplittableRandom(1));
        slow.become(List.of(a), ms(0));
        assertThat(slow.places(ms(0))).isEqualTo(10);
        slow.become(List.of(a, b), ms(100));
        assertThat(slow.places(ms(100))).isEqualTo(11);
        assertThat(slow.places(ms(600))).isEqualTo(15);
        assertThat(slow.places(ms(1_100))).isEqualTo(20);
    }

    @Test
    void givenUpSoonSaysNothingAndFarBehindTheUsualTimeAsMuchAsSilence() {
        pool.add(a, ms(0));
        for (int i = 0; i < 20; i++) {
            pool.choose(ms(0));
            pool.ended(a, RequestOutcome.ANSWERED, ms(10), ms(0));
        }
        for (int i = 0; i < 6; i++) {
            pool.choose(ms(0));
            pool.ended(a, RequestOutcome.GIVEN_UP, ms(39), ms(0));
        }
        assertThat(pool.in(a)).isTrue();
        for (int i = 0; i < 3; i++) {
            pool.choose(ms(0));
            pool.ended(a, RequestOutcome.GIVEN_UP, ms(41), ms(0));
        }
        assertThat(pool.in(a)).isFalse();
    }

    @Test
    void lessForEachTakesHoldWithoutLosingWhatIsInFlight() {
        pool.become(List.of(a), ms(0));
        for (int i = 0; i < 3; i++) {
            pool.choose(ms(0));
        }
        pool.become(new PoolSettings(1, 3, 0.5, ms(1_000), ms(4_000), 2, Duration.ZERO, 0.1, 2));
        assertThat(pool.free(ms(0))).isZero();
        assertThat(pool.inFlight(a)).isEqualTo(3);
        for (int i = 0; i < 3; i++) {
            pool.ended(a, RequestOutcome.ANSWERED, ms(10), ms(0));
        }
        assertThat(pool.free(ms(0))).isEqualTo(1);
    }

    /**
     * Eight workers, the last ten times slower: the 99th percentile of a policy under the same
     * arrivals, seconds.
     */
    private static double p99(boolean pools, SplittableRandom chance) {
        int workers = 8;
        double[] freeAt = new double[workers];
        WorkerSelector pool =
                new WorkerSelector(
                        new PoolSettings(
                                1_000, 5, 0.5, ms(1_000), ms(4_000), 2, Duration.ZERO, 0.1, 10),
                        chance.split());
        for (int i = 0; i < workers; i++) {
            pool.add(new WorkerId("" + i), ms(0));
        }
        record Running(double at, int worker, double took) {}
        PriorityQueue<Running> running = new PriorityQueue<>((x, y) -> Double.compare(x.at, y.at));
        List<Double> all = new ArrayList<>();
        double now = 0;
        int[] turn = {0};
        IntSupplier robin = () -> turn[0]++ % workers;
        for (int i = 0; i < 20_000; i++) {
            now += -Math.log(1 - chance.nextDouble()) / 400;
            while (!running.isEmpty() && running.peek().at <= now) {
                Running over = running.poll();
                if (pools) {
                    pool.ended(
                            new WorkerId("" + over.worker),
                            RequestOutcome.ANSWERED,
                            ms((long) (over.took * 1e3)),
                            ms((long) (over.at * 1e3)));
                }
            }
            int worker =
                    pools
                            ? Integer.parseInt(
                                    pool.choose(ms((long) (now * 1e3))).orElseThrow().name())
                            : robin.getAsInt();
            double work = -Math.log(1 - chance.nextDouble()) * (worker == workers - 1 ? 0.1 : 0.01);
            freeAt[worker] = Math.max(freeAt[worker], now) + work;
            running.add(new Running(freeAt[worker], worker, freeAt[worker] - now));
            all.add(freeAt[worker] - now);
        }
        double[] sorted = all.stream().mapToDouble(x -> x).sorted().toArray();
        assertThat(Arrays.stream(sorted).allMatch(x -> x > 0)).isTrue();
        return sorted[(int) (sorted.length * 0.99)];
    }

    @Test
    void slowWorkerIsAvoidedFarBetterThanInTurn() {
        for (int seed = 0; seed < 5; seed++) {
            double turns = p99(false, new SplittableRandom(seed));
            double chosen = p99(true, new SplittableRandom(seed));
            assertThat(chosen)
                    .as("seed " + seed + ": " + chosen + " of " + turns)
                    .isLessThan(turns / 10);
        }
    }
}
