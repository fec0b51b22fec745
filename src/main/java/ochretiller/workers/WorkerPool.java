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
 * A pool of workers with their addresses and its metrics. Confined to the event loop thread, except
 * that metrics are read by any thread.
 */
final class WorkerPool {
    /**
     * Maximum connections of timed-out runs that are kept open to count late answers; a few are
     * enough to show that late answers occur.
     */
    static final int MAX_LATE_ANSWER_CONNECTIONS = 16;

    private static final Logger LOG = Logger.getLogger(WorkerPool.class.getName());

    /** The pool's name in the operators' file. */
    final String name;

    /** Runs that were started, including those that no worker could take. */
    final Metrics.Counter startedRuns;

    /** Runs that were retried on another worker because the first one never started them. */
    final Metrics.Counter retriedRuns;

    /** Runs that no worker could take. */
    final Metrics.Counter neverStartedRuns;

    /** Runs that failed, or whose answer was malformed. */
    final Metrics.Counter failedRuns;

    /** Runs that were not answered in time. */
    final Metrics.Counter timedOutRuns;

    /** Answers that arrived after their run had timed out. */
    final Metrics.Counter lateAnswers;

    /** Number of runs that are admitted but not started; a slot is reserved for each. */
    int expectedRuns;

    /** Number of connections of timed-out runs that are kept open for late answers. */
    int lateAnswerConnections;

    private final WorkerSelector selector;

    /** Addresses of the configured workers, and of draining ones with requests in flight. */
    private final Map<WorkerId, InetSocketAddress> addresses = new LinkedHashMap<>();

    private Duration lateAnswerTime;

    /** The last computed capacity; read by the metrics thread. */
    private volatile int capacity;

    /** The free slots at {@link #freeSlotsAt}, cached as one event loop round reads them often. */
    private int freeSlots;

    private Optional<Duration> freeSlotsAt = Optional.empty();

    /** Creates a pool without workers; {@link #reconfigure} adds them. */
    WorkerPool(WorkerPoolConfig config, SplittableRandom random, Metrics metrics) {
        name = config.name();
        lateAnswerTime = config.lateAnswerTime();
        selector = new WorkerSelector(config.settings(), random);
        String prefix = "pool_" + name + "_";
        startedRuns = metrics.counter(prefix + "runs_total", "Runs that were handed to workers");
        retriedRuns =
                metrics.counter(
                        prefix + "second_tries_total",
                        "Runs tried on another worker, the first not having begun");
        neverStartedRuns =
                metrics.counter(
                        prefix + "not_begun_total",
                        "Runs that no worker could take; they are throttled");
        failedRuns =
                metrics.counter(
                        prefix + "failed_total", "Runs that failed, or whose answer was spoilt");
        timedOutRuns = metrics.counter(prefix + "silent_total", "Runs without an answer in time");
        lateAnswers =
                metrics.counter(
                        prefix + "late_answers_total",
                        "Answers behind their time, which are ignored");
        metrics.gauge(prefix + "places", "Runs that its workers may have at once", () -> capacity);
    }

    /** Changes settings and workers; removed workers finish their requests in flight. */
    void reconfigure(WorkerPoolConfig config, Duration now) {
        freeSlotsAt = Optional.empty();
        lateAnswerTime = config.lateAnswerTime();
        selector.reconfigure(config.settings());
        List<WorkerId> ids = new ArrayList<>();
        for (InetSocketAddress address : config.workers()) {
            WorkerId id =
                    new WorkerId(address.getAddress().getHostAddress() + ':' + address.getPort());
            ids.add(id);
            addresses.put(id, address);
        }
        selector.reconfigure(ids, now);
        addresses.keySet().removeIf(id -> !ids.contains(id) && selector.inFlight(id) == 0);
    }

    /** Returns how long after its deadline the answer of a keyed run is still awaited. */
    Duration lateAnswerTime() {
        return lateAnswerTime;
    }

    /** Records whether the fleet's membership shows a worker as reachable. */
    void setReachable(WorkerId id, boolean isReachable) {
        selector.setReachable(id, isReachable);
    }

    InetSocketAddress addressOf(WorkerId id) {
        return addresses.get(id);
    }

    /** Returns the maximum of concurrent runs on the workers in their current state. */
    int capacity(Duration now) {
        int current = selector.capacity(now);
        capacity = current;
        return current;
    }

    /** Returns how many more runs the workers can take; negative if too many are admitted. */
    int freeSlots(Duration now) {
        if (!Optional.of(now).equals(freeSlotsAt)) {
            freeSlots = selector.freeSlots(now);
            freeSlotsAt = Optional.of(now);
        }
        return freeSlots - expectedRuns;
    }

    /** Chooses the worker for a run, which counts as in flight until {@link #onRequestEnded}. */
    Optional<WorkerId> choose(Duration now) {
        freeSlotsAt = Optional.empty();
        return selector.choose(now);
    }

    /** Chooses another worker for a run that provably never started on the previous one. */
    Optional<WorkerId> chooseForRetry(WorkerId previous, RequestOutcome outcome, Duration now) {
        freeSlotsAt = Optional.empty();
        return selector.chooseForRetry(previous, outcome, now);
    }

    /** Records the end of a request; logs if it causes the worker to be ejected or readmitted. */
    void onRequestEnded(WorkerId id, RequestOutcome outcome, Duration elapsed, Duration now) {
        freeSlotsAt = Optional.empty();
        boolean wasActive = selector.isActive(id);
        selector.onRequestEnded(id, outcome, elapsed, now);
        boolean isActive = selector.isActive(id);
        if (wasActive && !isActive) {
            LOG.warning(
                    "pool "
                            + name
                            + " ejects worker "
                            + id
                            + "; outcome of its last request: "
                            + outcome.externalName());
        }
        if (!wasActive && isActive) {
            LOG.info("pool " + name + " readmits worker " + id);
        }
        capacity(now);
    }
}
