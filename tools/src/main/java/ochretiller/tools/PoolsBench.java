package ochretiller.tools;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.pools.PoolSettings;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;
import ochretiller.pools.WorkerSelector;

/**
 * Compares the choice of workers by {@link WorkerSelector} with round-robin and least connections:
 * a simulation in virtual time, on the same arrivals for each.
 */
final class PoolsBench {
    private static final int WORKERS = 8;

    /** Requests that one worker processes at a time; further ones wait in its queue. */
    private static final int CORES = 4;

    private static final double MEAN_WORK_S = 0.02;
    private static final int REQUESTS = 60_000;
    private static final int SEEDS = 5;

    /** The algorithm that chooses workers: {@code POOL} is {@link WorkerSelector}. */
    private enum Chooser {
        POOL,
        TURNS,
        LEAST
    }

    /** The fault of the last worker. */
    private enum Fault {
        NONE,
        SLOW,
        FAILS_FAST,
        GONE
    }

    /** The end of a request; times are in seconds. */
    private record Completion(
            double at, int worker, double startedAt, double latency, boolean succeeded)
            implements Comparable<Completion> {
        @Override
        public int compareTo(Completion other) {
            return Double.compare(at, other.at);
        }
    }

    /** The result of a simulation; the shares are shares of all requests. */
    private record Result(double p50Ms, double p99Ms, double failedShare, double lastWorkerShare) {}

    private static Duration duration(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    /** Runs one simulation; {@code load} is a share of what eight healthy workers can process. */
    private static Result simulate(
            Chooser chooser, Fault fault, double load, int workers, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SplittableRandom workRandom = random.split();
        WorkerSelector selector =
                new WorkerSelector(
                        new PoolSettings(
                                64,
                                5,
                                0.5,
                                Duration.ofSeconds(1),
                                Duration.ofSeconds(30),
                                2,
                                Duration.ofSeconds(5),
                                0.1,
                                10),
                        random.split());
        List<WorkerId> ids = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            ids.add(new WorkerId("" + i));
        }
        selector.reconfigure(ids, Duration.ZERO);
        List<PriorityQueue<Double>> coreFreeTimes = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            PriorityQueue<Double> freeTimes = new PriorityQueue<>();
            for (int j = 0; j < CORES; j++) {
                freeTimes.add(0.0);
            }
            coreFreeTimes.add(freeTimes);
        }
        int[] inFlight = new int[workers];
        PriorityQueue<Completion> completions = new PriorityQueue<>();
        List<Double> latencies = new ArrayList<>();
        double now = 0;
        int failed = 0;
        int toLastWorker = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += RandomStreams.exponential(random, MEAN_WORK_S / (load * WORKERS * CORES));
            while (!completions.isEmpty() && completions.peek().at <= now) {
                Completion next = completions.poll();
                inFlight[next.worker]--;
                if (chooser == Chooser.POOL) {
                    selector.onRequestEnded(
                            ids.get(next.worker),
                            next.succeeded ? RequestOutcome.ANSWERED : RequestOutcome.FAILED,
                            duration(next.latency),
                            duration(next.at));
                }
            }
            double work = RandomStreams.exponential(workRandom, MEAN_WORK_S);
            int worker = choose(chooser, selector, ids, inFlight, i, now);
            if (worker < 0) {
                failed++;
                continue;
            }
            boolean isFaulty = fault != Fault.NONE && worker == workers - 1;
            if (worker == workers - 1) {
                toLastWorker++;
            }
            inFlight[worker]++;
            if (isFaulty && fault == Fault.FAILS_FAST) {
                completions.add(new Completion(now + 0.001, worker, now, 0.001, false));
                failed++;
                continue;
            }
            double end =
                    Math.max(now, coreFreeTimes.get(worker).poll()) + work * (isFaulty ? 10 : 1);
            coreFreeTimes.get(worker).add(end);
            completions.add(new Completion(end, worker, now, end - now, true));
            if (i > REQUESTS / 10) {
                latencies.add(end - now); // the first tenth fills the empty queues
            }
        }
        Collections.sort(latencies);
        return new Result(
                latencies.get(latencies.size() / 2) * 1e3,
                latencies.get((int) (latencies.size() * 0.99)) * 1e3,
                failed / (double) REQUESTS,
                toLastWorker / (double) REQUESTS);
    }

    private static int choose(
            Chooser chooser,
            WorkerSelector selector,
            List<WorkerId> ids,
            int[] inFlight,
            int requestIndex,
            double now) {
        switch (chooser) {
            case POOL -> {
                Optional<WorkerId> chosen = selector.choose(duration(now));
                return chosen.map(ids::indexOf).orElse(-1);
            }
            case TURNS -> {
                return requestIndex % ids.size();
            }
            case LEAST -> {
                int least = requestIndex % ids.size(); // ties are broken round-robin
                for (int i = 0; i < ids.size(); i++) {
                    int next = (requestIndex + i) % ids.size();
                    if (inFlight[next] < inFlight[least]) {
                        least = next;
                    }
                }
                return least;
            }
            default -> throw new IllegalStateException();
        }
    }

    void run() throws Exception {
        ResultTable table =
                new ResultTable(
                        "pools",
                        "fault of one in eight",
                        "chooser",
                        "p50 ms",
                        "p99 ms",
                        "p99 over seven healthy",
                        "failed",
                        "share of the faulty");
        for (Fault fault : new Fault[] {Fault.NONE, Fault.SLOW, Fault.FAILS_FAST}) {
            for (Chooser chooser : Chooser.values()) {
                double p50Ms = 0;
                double p99Ms = 0;
                double healthyP99Ms = 0;
                double failedShare = 0;
                double lastWorkerShare = 0;
                for (int seed = 0; seed < SEEDS; seed++) {
                    Result result = simulate(chooser, fault, 0.6, WORKERS, seed);
                    p50Ms += result.p50Ms / SEEDS;
                    p99Ms += result.p99Ms / SEEDS;
                    failedShare += result.failedShare / SEEDS;
                    lastWorkerShare += result.lastWorkerShare / SEEDS;
                    // Reference: only the seven healthy workers, with the better baseline.
                    healthyP99Ms +=
                            simulate(Chooser.LEAST, Fault.NONE, 0.6, WORKERS - 1, seed).p99Ms
                                    / SEEDS;
                }
                table.addRow(
                        fault,
                        chooser,
                        p50Ms,
                        p99Ms,
                        p99Ms / healthyP99Ms,
                        failedShare,
                        lastWorkerShare);
            }
        }
        table.save();
        ResultTable retries =
                new ResultTable(
                        "pools-retries", "refused share", "first tries", "second tries", "share");
        for (double refusedShare : new double[] {0.01, 0.05, 0.2, 1}) {
            WorkerSelector selector =
                    new WorkerSelector(
                            new PoolSettings(
                                    64,
                                    1 << 30,
                                    1,
                                    Duration.ofMillis(10),
                                    Duration.ofMillis(10),
                                    64,
                                    Duration.ZERO,
                                    0.1,
                                    10),
                            new SplittableRandom(1));
            for (int i = 0; i < WORKERS; i++) {
                selector.add(new WorkerId("" + i), Duration.ZERO);
            }
            SplittableRandom random = new SplittableRandom(2);
            long retryCount = 0;
            for (int i = 0; i < REQUESTS; i++) {
                Duration now = Duration.ofMillis(i);
                WorkerId worker = selector.choose(now).orElse(null);
                while (worker != null && random.nextDouble() < refusedShare) {
                    selector.onRequestEnded(
                            worker, RequestOutcome.NEVER_STARTED, Duration.ZERO, now);
                    worker =
                            selector.chooseForRetry(worker, RequestOutcome.NEVER_STARTED, now)
                                    .orElse(null);
                    if (worker != null) {
                        retryCount++;
                    }
                }
                if (worker != null) {
                    selector.onRequestEnded(
                            worker, RequestOutcome.ANSWERED, duration(MEAN_WORK_S), now);
                }
            }
            retries.addRow(refusedShare, REQUESTS, retryCount, retryCount / (double) REQUESTS);
        }
        retries.save();
    }
}
