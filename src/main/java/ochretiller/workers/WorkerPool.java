package ochretiller.workers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import ochretiller.metrics.Metrics;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;
import ochretiller.pools.WorkerSelector;

/** A pool with the addresses of its workers and its figures. */
final class WorkerPool {
    private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());

    /**
     * Connections of runs that were given up on which a late answer is still listened for: enough
     * to count them by.
     */
    static final int MOST_LATE = 16;

    final String name;
    private final WorkerSelector pool;
    Duration late;

    /** Addresses are kept while a drained worker still has something. */
    private final Map<WorkerId, InetSocketAddress> addresses = new LinkedHashMap<>();

    /** Runs that were let go and have not reached a worker yet. */
    int expected;

    int listening;
    final Metrics.Counter runs;
    final Metrics.Counter elsewhere;
    final Metrics.Counter unbegun;
    final Metrics.Counter failed;
    final Metrics.Counter silent;
    final Metrics.Counter lateAnswers;
    private volatile int places;

    /** What was free then; a hold of one pool asks for each that it holds. */
    private Duration freeAt;

    private int free;

    WorkerPool(WorkerPoolConfig plan, SplittableRandom chance, Metrics metrics) {
        name = plan.name();
        pool = new WorkerSelector(plan.settings(), chance);
        String start = "pool_" + name + "_";
        runs = metrics.counter(start + "runs_total", "Runs that were handed to workers");
        elsewhere =
                metrics.counter(
                        start + "second_tries_total",
                        "Runs tried on another worker, the first not having begun");
        unbegun =
                metrics.counter(
                        start + "not_begun_total",
                        "Runs that no worker could take; they are throttled");
        failed =
                metrics.counter(
                        start + "failed_total", "Runs that failed, or whose answer was spoilt");
        silent = metrics.counter(start + "silent_total", "Runs without an answer in time");
        lateAnswers =
                metrics.counter(
                        start + "late_answers_total",
                        "Answers behind their time, which are ignored");
        metrics.gauge(start + "places", "Runs that its workers may have at once", () -> places);
    }

    void become(WorkerPoolConfig plan, Duration now) {
        freeAt = null;
        late = plan.late();
        pool.become(plan.settings());
        List<WorkerId> ids = new ArrayList<>();
        for (InetSocketAddress address : plan.workers()) {
            WorkerId id =
                    new WorkerId(address.getAddress().getHostAddress() + ':' + address.getPort());
            ids.add(id);
            addresses.put(id, address);
        }
        pool.become(ids, now);
        addresses.keySet().removeIf(id -> !ids.contains(id) && pool.inFlight(id) == 0);
    }

    void seen(WorkerId id, boolean there) {
        pool.seen(id, there);
    }

    InetSocketAddress address(WorkerId id) {
        return addresses.get(id);
    }

    int places(Duration now) {
        return places = pool.places(now);
    }

    int free(Duration now) {
        if (!now.equals(freeAt)) {
            free = pool.free(now);
            freeAt = now;
        }
        return free - expected;
    }

    /** A worker for a first try, or none. */
    Optional<WorkerId> choose(Duration now) {
        freeAt = null;
        return pool.choose(now);
    }

    /** Another one for a try that is proven not to have begun, or none. */
    Optional<WorkerId> chooseAgain(WorkerId before, RequestOutcome end, Duration now) {
        freeAt = null;
        return pool.chooseAgain(before, end, now);
    }

    /** A request to a worker is over; what that changes for it leaves a line. */
    void ended(WorkerId id, RequestOutcome end, Duration took, Duration now) {
        freeAt = null;
        boolean in = pool.in(id);
        pool.ended(id, end, took, now);
        if (in && !pool.in(id)) {
            LOG.warning(
                    "pool "
                            + name
                            + " leaves out worker "
                            + id
                            + ", last end: "
                            + end.externalName());
        }
        if (!in && pool.in(id)) {
            LOG.info("pool " + name + " lets worker " + id + " in again");
        }
        places(now);
    }
}
