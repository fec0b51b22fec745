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
    private final WorkerSelector selector = new WorkerSelector(SETTINGS, new SplittableRandom(1));
    private final WorkerId a = new WorkerId("a");
    private final WorkerId b = new WorkerId("b");

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private void failRequests(WorkerId id, int times, Duration now) {
        for (int i = 0; i < times; i++) {
            assertThat(selector.choose(now)).contains(id);
            selector.onRequestEnded(id, RequestOutcome.FAILED, ms(1), now);
        }
    }

    @Test
    void choosesNoWorkerIfAllAreFull() {
        selector.reconfigure(List.of(a, b), ms(0));
        for (int i = 0; i < 8; i++) {
            assertThat(selector.choose(ms(0))).isPresent();
        }
        assertThat(selector.inFlight(a)).isEqualTo(4);
        assertThat(selector.choose(ms(0))).isEmpty();
        selector.onRequestEnded(b, RequestOutcome.ANSWERED, ms(10), ms(10));
        assertThat(selector.choose(ms(10))).contains(b);
    }

    @Test
    void unreachableWorkerIsOnlyALastResort() {
        selector.reconfigure(List.of(a, b), ms(0));
        selector.setReachable(a, false);
        for (int i = 0; i < 4; i++) {
            assertThat(selector.choose(ms(0))).contains(b);
        }
        assertThat(selector.choose(ms(0)))
                .as("last resort while the other worker is full")
                .contains(a);
        selector.setReachable(b, false);
        selector.onRequestEnded(b, RequestOutcome.ANSWERED, ms(1), ms(1));
        selector.setReachable(a, true);
        assertThat(selector.choose(ms(1))).contains(a);
    }

    @Test
    void failingWorkerIsEjectedProbedAndReadmitted() {
        selector.add(a, ms(0));
        failRequests(a, 3, ms(0));
        assertThat(selector.choose(ms(999))).isEmpty();
        assertThat(selector.choose(ms(1_000))).contains(a);
        assertThat(selector.choose(ms(1_000))).contains(a);
        assertThat(selector.choose(ms(1_000))).as("at most two probes in flight").isEmpty();
        selector.onRequestEnded(a, RequestOutcome.ANSWERED, ms(10), ms(1_010));
        assertThat(selector.isActive(a)).isFalse();
        selector.onRequestEnded(a, RequestOutcome.ANSWERED, ms(10), ms(1_010));
        assertThat(selector.isActive(a)).isTrue();
    }

    @Test
    void failedProbesDoubleTheEjection() {
        selector.add(a, ms(0));
        failRequests(a, 3, ms(0));
        long nowMillis = 1_000;
        for (long ejectionMillis : new long[] {2_000, 4_000, 4_000}) {
            assertThat(selector.choose(ms(nowMillis))).contains(a);
            selector.onRequestEnded(a, RequestOutcome.TIMED_OUT, ms(10), ms(nowMillis));
            assertThat(selector.choose(ms(nowMillis + ejectionMillis - 1))).isEmpty();
            nowMillis += ejectionMillis;
        }
    }

    @Test
    void drainedWorkerIsRemovedAfterItsLastRequest() {
        selector.add(a, ms(0));
        selector.choose(ms(0));
        selector.reconfigure(List.of(b), ms(0));
        assertThat(selector.size()).isEqualTo(2);
        assertThat(selector.choose(ms(0))).contains(b);
        selector.onRequestEnded(a, RequestOutcome.ANSWERED, ms(10), ms(10));
        assertThat(selector.size()).isEqualTo(1);
    }

    @Test
    void onlyRequestsThatNeverStartedAreRetriedWithinTheBudget() {
        selector.reconfigure(List.of(a, b), ms(0));
        selector.choose(ms(0));
        for (RequestOutcome outcome :
                new RequestOutcome[] {
                    RequestOutcome.ANSWERED, RequestOutcome.FAILED, RequestOutcome.TIMED_OUT
                }) {
            assertThat(selector.chooseForRetry(a, outcome, ms(0))).isEmpty();
        }
        assertThat(selector.chooseForRetry(a, RequestOutcome.NEVER_STARTED, ms(0))).contains(b);
        assertThat(selector.chooseForRetry(a, RequestOutcome.NEVER_STARTED, ms(0))).contains(b);
        assertThat(selector.chooseForRetry(a, RequestOutcome.NEVER_STARTED, ms(0)))
                .as("the burst allows two retries")
                .isEmpty();
        int retriedCount = 0;
        for (int i = 0; i < 1_000; i++) {
            selector.choose(ms(i))
                    .ifPresent(
                            id ->
                                    selector.onRequestEnded(
                                            id, RequestOutcome.ANSWERED, ms(1), ms(1)));
            if (selector.chooseForRetry(a, RequestOutcome.NEVER_STARTED, ms(i)).isPresent()) {
                retriedCount++;
            }
            selector.onRequestEnded(b, RequestOutcome.ANSWERED, ms(1), ms(i));
        }
        assertThat(retriedCount).isBetween(90, 101);
    }

    @Test
    void limitOfNewWorkerGrowsDuringSlowStart() {
        WorkerSelector slowStarting =
                new WorkerSelector(
                        new PoolSettings(20, 3, 0.5, ms(1_000), ms(4_000), 2, ms(10_000), 0.1, 2),
                        new SplittableRandom(1));
        slowStarting.add(a, ms(0));
        int countAtStart = 0;
        while (slowStarting.choose(ms(0)).isPresent()) {
            countAtStart++;
        }
        int countHalfway = countAtStart;
        while (slowStarting.choose(ms(5_000)).isPresent()) {
            countHalfway++;
        }
        assertThat(countAtStart).isEqualTo(2);
        assertThat(countHalfway).isEqualTo(10);
    }

    @Test
    void capacityExcludesDrainingWorkers() {
        selector.reconfigure(List.of(a, b), ms(0));
        assertThat(selector.capacity(ms(0))).isEqualTo(8);
        selector.choose(ms(0));
        assertThat(selector.freeSlots(ms(0))).isEqualTo(7);
        selector.drain(b);
        assertThat(selector.capacity(ms(0))).isEqualTo(4);
    }

    @Test
    void onlyWorkersAddedLaterHaveSlowStart() {
        WorkerSelector slowStarting =
                new WorkerSelector(
                        new PoolSettings(10, 3, 0.5, ms(1_000), ms(4_000), 2, ms(1_000), 0.1, 2),
                        new SplittableRandom(1));
        slowStarting.reconfigure(List.of(a), ms(0));
        assertThat(slowStarting.capacity(ms(0))).isEqualTo(10);
        slowStarting.reconfigure(List.of(a, b), ms(100));
        assertThat(slowStarting.capacity(ms(100))).isEqualTo(11);
        assertThat(slowStarting.capacity(ms(600))).isEqualTo(15);
        assertThat(slowStarting.capacity(ms(1_100))).isEqualTo(20);
    }

    @Test
    void onlyLateCancellationsCountAsTimeouts() {
        selector.add(a, ms(0));
        for (int i = 0; i < 20; i++) {
            selector.choose(ms(0));
            selector.onRequestEnded(a, RequestOutcome.ANSWERED, ms(10), ms(0));
        }
        for (int i = 0; i < 6; i++) {
            selector.choose(ms(0));
            selector.onRequestEnded(a, RequestOutcome.CANCELLED, ms(39), ms(0));
        }
        assertThat(selector.isActive(a)).isTrue();
        for (int i = 0; i < 3; i++) {
            selector.choose(ms(0));
            selector.onRequestEnded(a, RequestOutcome.CANCELLED, ms(41), ms(0));
        }
        assertThat(selector.isActive(a)).isFalse();
    }

    @Test
    void lowerLimitKeepsRequestsInFlight() {
        selector.reconfigure(List.of(a), ms(0));
        for (int i = 0; i < 3; i++) {
            selector.choose(ms(0));
        }
        selector.reconfigure(
                new PoolSettings(1, 3, 0.5, ms(1_000), ms(4_000), 2, Duration.ZERO, 0.1, 2));
        assertThat(selector.freeSlots(ms(0))).isZero();
        assertThat(selector.inFlight(a)).isEqualTo(3);
        for (int i = 0; i < 3; i++) {
            selector.onRequestEnded(a, RequestOutcome.ANSWERED, ms(10), ms(0));
        }
        assertThat(selector.freeSlots(ms(0))).isEqualTo(1);
    }

    /**
     * Simulates eight workers of which the last is ten times slower. Returns the 99th percentile of
     * the latency in seconds under the selector or under round robin, for the same arrivals.
     */
    private static double p99(boolean usesSelector, SplittableRandom random) {
        int workers = 8;
        double[] freeAt = new double[workers];
        WorkerSelector selector =
                new WorkerSelector(
                        new PoolSettings(
                                1_000, 5, 0.5, ms(1_000), ms(4_000), 2, Duration.ZERO, 0.1, 10),
                        random.split());
        for (int i = 0; i < workers; i++) {
            selector.add(new WorkerId("" + i), ms(0));
        }
        record Running(double endsAt, int worker, double latency) {}
        PriorityQueue<Running> running =
                new PriorityQueue<>((x, y) -> Double.compare(x.endsAt, y.endsAt));
        List<Double> latencies = new ArrayList<>();
        double now = 0;
        int[] nextTurn = {0};
        IntSupplier roundRobin = () -> nextTurn[0]++ % workers;
        for (int i = 0; i < 20_000; i++) {
            now += -Math.log(1 - random.nextDouble()) / 400;
            while (!running.isEmpty() && running.peek().endsAt <= now) {
                Running finished = running.poll();
                if (usesSelector) {
                    selector.onRequestEnded(
                            new WorkerId("" + finished.worker),
                            RequestOutcome.ANSWERED,
                            ms((long) (finished.latency * 1e3)),
                            ms((long) (finished.endsAt * 1e3)));
                }
            }
            int worker =
                    usesSelector
                            ? Integer.parseInt(
                                    selector.choose(ms((long) (now * 1e3))).orElseThrow().name())
                            : roundRobin.getAsInt();
            double work = -Math.log(1 - random.nextDouble()) * (worker == workers - 1 ? 0.1 : 0.01);
            freeAt[worker] = Math.max(freeAt[worker], now) + work;
            running.add(new Running(freeAt[worker], worker, freeAt[worker] - now));
            latencies.add(freeAt[worker] - now);
        }
        double[] sorted = latencies.stream().mapToDouble(x -> x).sorted().toArray();
        assertThat(Arrays.stream(sorted).allMatch(x -> x > 0)).isTrue();
        return sorted[(int) (sorted.length * 0.99)];
    }

    @Test
    void slowWorkerIsAvoidedFarBetterThanByRoundRobin() {
        for (int seed = 0; seed < 5; seed++) {
            double roundRobinP99 = p99(false, new SplittableRandom(seed));
            double selectorP99 = p99(true, new SplittableRandom(seed));
            assertThat(selectorP99)
                    .as("seed " + seed + ": " + selectorP99 + " of " + roundRobinP99)
                    .isLessThan(roundRobinP99 / 10);
        }
    }
}
