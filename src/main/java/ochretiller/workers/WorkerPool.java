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

/**
 * A pool of workers with their addresses and its metrics. Belongs to the event loop; metrics are
 * read by any thread.
 */
final class WorkerPool {
    /**
     * How many connections of timed-out runs are kept open to count late answers: enough to tell
     * whether there are any.
     */
    static final int MAX_LATE_LISTENERS = 16;

    private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());

    /** The pool's name in the operators' configuration. */
    final String name;

    /** Runs that were handed to workers. */
    final Metrics.Counter runs;

    /** Runs that were tried on another worker, since the first had not started them. */
    final Metrics.Counter retriedElsewhere;

    /** Runs that no worker could take. */
    final Metrics.Counter neverStarted;

    /** Runs that failed, or whose answer was malformed. */
    final Metrics.Counter failed;

    /** Runs without an answer in time. */
    final Metrics.Counter timedOut;

    /** Answers that came after their run had timed out. */
    final Metrics.Counter lateAnswers;

    /** How many runs were admitted and are not started yet; each will need a slot. */
    int expectedRuns;

    /** How many connections of timed-out runs are open for late answers. */
    int lateListeners;

    private final WorkerSelector selector;

    /** Addresses of the configured workers, and of drained ones that have a request in flight. */
    private final Map<WorkerId, InetSocketAddress> addresses = new LinkedHashMap<>();

    private Duration lateAnswerTime;

    /** For the metrics' thread. */
    private volatile int capacity;

    /** The free slots at {@link #freeSlotsAt}: they are asked for many times in one round. */
    private int freeSlots;

    private Optional<Duration> freeSlotsAt = Optional.empty();

    /** An empty pool; {@link #reconfigure} follows. */
    WorkerPool(WorkerPoolConfig config, SplittableRandom random, Metrics metrics) {
        name = config.name();
        lateAnswerTime = config.late();
        selector = new WorkerSelector(config.settings(), random);
        String prefix = "pool_" + name + "_";
        runs = metrics.counter(prefix + "runs_total", "Runs that were handed to workers");
        retriedElsewhere =
                metrics.counter(
                        prefix + "second_tries_total",
                        "Runs tried on another worker, the first not having begun");
        neverStarted =
                metrics.counter(
                        prefix + "not_begun_total",
                        "Runs that no worker could take; they are throttled");
        failed =
                metrics.counter(
                        prefix + "failed_total", "Runs that failed, or whose answer was spoilt");
        timedOut = metrics.counter(prefix + "silent_total", "Runs without an answer in time");
        lateAnswers =
                metrics.counter(
                        prefix + "late_answers_total",
                        "Answers behind their time, which are ignored");
        metrics.gauge(prefix + "places", "Runs that its workers may have at once", () -> capacity);
    }

    /** Takes new settings and workers; removed workers finish what they have. */
    void reconfigure(WorkerPoolConfig config, Duration now) {
        freeSlotsAt = Optional.empty();
        lateAnswerTime = config.late();
        selector.become(config.settings());
        List<WorkerId> ids = new ArrayList<>();
        for (InetSocketAddress address : config.workers()) {
            WorkerId id =
                    new WorkerId(address.getAddress().getHostAddress() + ':' + address.getPort());
            ids.add(id);
            addresses.put(id, address);
        }
        selector.become(ids, now);
        addresses.keySet().removeIf(id -> !ids.contains(id) && selector.inFlight(id) == 0);
    }

    /** How long after its deadline the answer of a keyed run is still awaited. */
    Duration lateAnswerTime() {
        return lateAnswerTime;
    }

    /** Notes whether the fleet's membership shows a worker as reachable. */
    void observe(WorkerId id, boolean isReachable) {
        selector.seen(id, isReachable);
    }

    InetSocketAddress addressOf(WorkerId id) {
        return addresses.get(id);
    }

    /** How many runs the workers may have at once, as they are now. */
    int capacity(Duration now) {
        int current = selector.places(now);
        capacity = current;
        return current;
    }

    /** How many more runs the workers can take; negative where too many were admitted. */
    int freeSlots(Duration now) {
        if (!Optional.of(now).equals(freeSlotsAt)) {
            freeSlots = selector.free(now);
            freeSlotsAt = Optional.of(now);
        }
        return freeSlots - expectedRuns;
    }

    /** Chooses the worker for a run, which counts as in flight until {@link #requestEnded}. */
    Optional<WorkerId> choose(Duration now) {
        freeSlotsAt = Optional.empty();
        return selector.choose(now);
    }

    /** Chooses another worker for a run that provably never started on the one before. */
    Optional<WorkerId> chooseForRetry(WorkerId before, RequestOutcome outcome, Duration now) {
        freeSlotsAt = Optional.empty();
        return selector.chooseAgain(before, outcome, now);
    }

    /** A request to a worker is over; logs whether that ejects the worker or readmits it. */
    void requestEnded(WorkerId id, RequestOutcome outcome, Duration elapsed, Duration now) {
        freeSlotsAt = Optional.empty();
        boolean wasIn = selector.in(id);
        selector.ended(id, outcome, elapsed, now);
        boolean isIn = selector.in(id);
        if (wasIn && !isIn) {
            LOG.warning(
                    "pool "
                            + name
                            + " leaves out worker "
                            + id
                            + ", last end: "
                            + outcome.externalName());
        }
        if (!wasIn && isIn) {
            LOG.info("pool " + name + " lets worker " + id + " in again");
        }
        capacity(now);
    }
}
