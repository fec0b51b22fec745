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
 * The decisions on pools in virtual time, beside requests by turns and least connections, on the
 * same arrivals.
 */
final class PoolsBench {
    private static final int WORKERS = 8;

    /** Requests that one worker does at a time; others wait in it. */
    private static final int PLACES = 4;

    private static final double MEAN_S = 0.02;
    private static final int REQUESTS = 60_000;
    private static final int SEEDS = 5;

    /** Who chooses. */
    private enum Chooser {
        POOL,
        TURNS,
        LEAST
    }

    /** What is wrong with the last worker. */
    private enum Fault {
        NONE,
        SLOW,
        FAILS_FAST,
        GONE
    }

    private record Event(double at, int worker, double since, double took, boolean good)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Double.compare(at, other.at);
        }
    }

    /** What one run shows. */
    private record Seen(double p50, double p99, double failed, double share) {}

    private static Duration span(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    /** {@code load} is the share of what healthy workers could do, all of them. */
    private static Seen play(Chooser chooser, Fault fault, double load, int workers, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        SplittableRandom sizes = chance.split();
        WorkerSelector pool =
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
                        chance.split());
        List<WorkerId> ids = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            ids.add(new WorkerId("" + i));
        }
        pool.become(ids, Duration.ZERO);
        List<PriorityQueue<Double>> cores = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            PriorityQueue<Double> own = new PriorityQueue<>();
            for (int j = 0; j < PLACES; j++) {
                own.add(0.0);
            }
            cores.add(own);
        }
        int[] open = new int[workers];
        PriorityQueue<Event> running = new PriorityQueue<>();
        List<Double> took = new ArrayList<>();
        double now = 0;
        int failed = 0;
        int toLast = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += RandomStreams.exponential(chance, MEAN_S / (load * WORKERS * PLACES));
            while (!running.isEmpty() && running.peek().at <= now) {
                Event over = running.poll();
                open[over.worker]--;
                if (chooser == Chooser.POOL) {
                    pool.ended(
                            ids.get(over.worker),
                            over.good ? RequestOutcome.ANSWERED : RequestOutcome.FAILED,
                            span(over.took),
                            span(over.at));
                }
            }
            double work = RandomStreams.exponential(sizes, MEAN_S);
            int to = choose(chooser, pool, ids, open, i, now);
            if (to < 0) {
                failed++;
                continue;
            }
            boolean sick = fault != Fault.NONE && to == workers - 1;
            if (to == workers - 1) {
                toLast++;
            }
            open[to]++;
            if (sick && fault == Fault.FAILS_FAST) {
                running.add(new Event(now + 0.001, to, now, 0.001, false));
                failed++;
                continue;
            }
            double end = Math.max(now, cores.get(to).poll()) + work * (sick ? 10 : 1);
            cores.get(to).add(end);
            running.add(new Event(end, to, now, end - now, true));
            if (i > REQUESTS / 10) {
                took.add(end - now); // the first tenth fills an empty system
            }
        }
        Collections.sort(took);
        return new Seen(
                took.get(took.size() / 2) * 1e3,
                took.get((int) (took.size() * 0.99)) * 1e3,
                failed / (double) REQUESTS,
                toLast / (double) REQUESTS);
    }

    private static int choose(
            Chooser chooser,
            WorkerSelector pool,
            List<WorkerId> ids,
            int[] open,
            int turn,
            double now) {
        switch (chooser) {
            case POOL -> {
                Optional<WorkerId> chosen = pool.choose(span(now));
                return chosen.map(ids::indexOf).orElse(-1);
            }
            case TURNS -> {
                return turn % ids.size();
            }
            case LEAST -> {
                int least = turn % ids.size(); // ties go by turns
                for (int i = 0; i < ids.size(); i++) {
                    int next = (turn + i) % ids.size();
                    if (open[next] < open[least]) {
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
                double p50 = 0;
                double p99 = 0;
                double healthy = 0;
                double failed = 0;
                double share = 0;
                for (int seed = 0; seed < SEEDS; seed++) {
                    Seen seen = play(chooser, fault, 0.6, WORKERS, seed);
                    p50 += seen.p50 / SEEDS;
                    p99 += seen.p99 / SEEDS;
                    failed += seen.failed / SEEDS;
                    share += seen.share / SEEDS;
                    // The seven that are well, with the best of the baselines.
                    healthy += play(Chooser.LEAST, Fault.NONE, 0.6, WORKERS - 1, seed).p99 / SEEDS;
                }
                table.row(fault, chooser, p50, p99, p99 / healthy, failed, share);
            }
        }
        table.keep();
        ResultTable retries =
                new ResultTable(
                        "pools-retries", "refused share", "first tries", "second tries", "share");
        for (double refused : new double[] {0.01, 0.05, 0.2, 1}) {
            WorkerSelector pool =
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
                pool.add(new WorkerId("" + i), Duration.ZERO);
            }
            SplittableRandom chance = new SplittableRandom(2);
            long second = 0;
            for (int i = 0; i < REQUESTS; i++) {
                Duration now = Duration.ofMillis(i);
                WorkerId at = pool.choose(now).orElse(null);
                while (at != null && chance.nextDouble() < refused) {
                    pool.ended(at, RequestOutcome.NEVER_BEGUN, Duration.ZERO, now);
                    at = pool.chooseAgain(at, RequestOutcome.NEVER_BEGUN, now).orElse(null);
                    if (at != null) {
                        second++;
                    }
                }
                if (at != null) {
                    pool.ended(at, RequestOutcome.ANSWERED, span(MEAN_S), now);
                }
            }
            retries.row(refused, REQUESTS, second, second / (double) REQUESTS);
        }
        retries.keep();
    }
}
