package ochretiller.pools;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.time.SlidingWindow;

/**
 * Chooses workers by the power of two random choices (Mitzenmacher 2001): of two random workers,
 * the one with the lower expected delay gets the request. That is nearly as good as the best of all
 * workers, and servers with the same view do not all choose the same one.
 */
public final class WorkerSelector {
    /** Maximum workers of one pool. */
    private static final int MAX_WORKERS = 1_000;

    /** A cancelled request that took this many times the mean latency counts as a timeout. */
    private static final double TIMEOUT_LATENCY_FACTOR = 4;

    /** The mean latency to assume if no request was answered recently. */
    private static final double DEFAULT_LATENCY_SECONDS = 0.25;

    private PoolSettings settings;
    private final SplittableRandom random;
    private final Map<WorkerId, WorkerHealth> workers = new LinkedHashMap<>();
    private double availableRetries;

    /** Recent latencies of all workers, in seconds. */
    private final SlidingWindow latencies =
            new SlidingWindow(WorkerHealth.BUCKET_LENGTH, WorkerHealth.BUCKET_COUNT);

    /**
     * Creates a selector without workers.
     *
     * @param random random numbers for the choice
     */
    public WorkerSelector(PoolSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        this.availableRetries = settings.retryBurst();
    }

    /** Adds a worker with slow start, or takes back one that is draining. */
    public void add(WorkerId id, Duration now) {
        add(id, now, true);
    }

    private void add(WorkerId id, Duration now, boolean hasSlowStart) {
        WorkerHealth existing = workers.get(id);
        if (existing != null && existing.state != WorkerHealth.State.DRAINING) {
            return;
        }
        if (existing == null && workers.size() >= MAX_WORKERS) {
            throw new IllegalStateException(
                    "a pool cannot have more than " + MAX_WORKERS + " workers");
        }
        WorkerHealth worker =
                new WorkerHealth(
                        id,
                        hasSlowStart ? now : now.minus(settings.slowStart()),
                        settings.initialEjection());
        if (existing != null) {
            worker.inFlight = existing.inFlight;
            worker.isUnreachable = existing.isUnreachable;
        }
        workers.put(id, worker);
    }

    /** Stops sending requests to a worker and removes it once none are in flight. */
    public void drain(WorkerId id) {
        WorkerHealth worker = workers.get(id);
        if (worker == null) {
            return;
        }
        worker.state = WorkerHealth.State.DRAINING;
        if (worker.inFlight == 0) {
            workers.remove(id);
        }
    }

    /**
     * Records whether the fleet's membership shows a worker as reachable. An unreachable one gets
     * requests only if no other worker can take them.
     */
    public void setReachable(WorkerId id, boolean isReachable) {
        WorkerHealth worker = workers.get(id);
        if (worker != null) {
            worker.isUnreachable = !isReachable;
        }
    }

    /** Changes the settings; requests in flight are not affected. */
    public void reconfigure(PoolSettings next) {
        settings = next;
        availableRetries = Math.min(availableRetries, next.retryBurst());
    }

    /** Adds and drains workers so that exactly the given ones stay. */
    public void reconfigure(List<WorkerId> ids, Duration now) {
        for (WorkerId id : List.copyOf(workers.keySet())) {
            if (!ids.contains(id)) {
                drain(id);
            }
        }
        // The initial workers are assumed to be warm: only those added later have slow start.
        boolean isInitial = workers.isEmpty();
        for (WorkerId id : ids) {
            add(id, now, !isInitial);
        }
    }

    /**
     * Chooses the worker for an original request, which counts as in flight until {@link
     * #onRequestEnded}.
     *
     * @return the worker, or empty if all are full, ejected or draining
     */
    public Optional<WorkerId> choose(Duration now) {
        availableRetries =
                Math.min(settings.retryBurst(), availableRetries + settings.retryRatio());
        return pick(now, null);
    }

    /**
     * Chooses another worker for a request that never ran on the previous one.
     *
     * @return the worker, or empty if there is none or the retry budget is spent: in a total
     *     failure retries would double the load on workers that recover
     */
    public Optional<WorkerId> chooseForRetry(
            WorkerId previous, RequestOutcome outcome, Duration now) {
        if (!outcome.mayRetryElsewhere() || availableRetries < 1) {
            return Optional.empty();
        }
        Optional<WorkerId> other = pick(now, previous);
        if (other.isPresent()) {
            availableRetries--;
        }
        return other;
    }

    private Optional<WorkerId> pick(Duration now, WorkerId excluded) {
        List<WorkerHealth> candidates = new ArrayList<>();
        for (WorkerHealth worker : workers.values()) {
            if (!worker.id.equals(excluded) && worker.hasFreeSlot(settings, now)) {
                candidates.add(worker);
            }
        }
        // If membership shows no worker as reachable, this server may only be partitioned from the
        // fleet, so the membership is ignored.
        if (candidates.stream().anyMatch(worker -> !worker.isUnreachable)) {
            candidates.removeIf(worker -> worker.isUnreachable);
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        WorkerHealth chosen =
                candidates.stream()
                        .filter(worker -> worker.state == WorkerHealth.State.PROBING)
                        .findFirst() // preferred over faster workers, or it is never readmitted
                        .orElseGet(() -> betterOfTwo(candidates, now));
        chosen.inFlight++;
        return Optional.of(chosen.id);
    }

    private WorkerHealth betterOfTwo(List<WorkerHealth> candidates, Duration now) {
        int firstIndex = random.nextInt(candidates.size());
        if (candidates.size() == 1) {
            return candidates.get(firstIndex);
        }
        // Two different workers: one that is drawn twice would be chosen however slow it is.
        int secondIndex =
                (firstIndex + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
        WorkerHealth first = candidates.get(firstIndex);
        WorkerHealth second = candidates.get(secondIndex);
        return first.expectedDelaySeconds(settings, now)
                        <= second.expectedDelaySeconds(settings, now)
                ? first
                : second;
    }

    /** Records the end of a request; called once for each, even if a late answer follows. */
    public void onRequestEnded(
            WorkerId id, RequestOutcome outcome, Duration elapsed, Duration now) {
        WorkerHealth worker = workers.get(id);
        if (worker == null) {
            return;
        }
        if (outcome == RequestOutcome.ANSWERED) {
            latencies.add(now, inSeconds(elapsed), 1);
        }
        // A request that was cancelled after a multiple of the mean latency counts as timed out; an
        // earlier cancellation is no evidence about the worker.
        boolean isTimeout =
                outcome == RequestOutcome.CANCELLED
                        && inSeconds(elapsed)
                                > TIMEOUT_LATENCY_FACTOR
                                        * latencies.mean(now, DEFAULT_LATENCY_SECONDS);
        worker.onRequestEnded(
                isTimeout ? RequestOutcome.TIMED_OUT : outcome, elapsed, settings, now);
        if (worker.state == WorkerHealth.State.DRAINING && worker.inFlight == 0) {
            workers.remove(id);
        }
    }

    /** Returns how many requests all workers together may have in flight now. */
    public int capacity(Duration now) {
        int total = 0;
        for (WorkerHealth worker : workers.values()) {
            total += worker.inFlightLimit(settings, now);
        }
        return total;
    }

    /** Returns how many more requests the workers can take now. */
    public int freeSlots(Duration now) {
        int total = 0;
        for (WorkerHealth worker : workers.values()) {
            total += Math.max(0, worker.inFlightLimit(settings, now) - worker.inFlight);
        }
        return total;
    }

    /** Returns how many requests a worker has in flight; 0 if the worker is unknown. */
    public int inFlight(WorkerId id) {
        return workers.containsKey(id) ? workers.get(id).inFlight : 0;
    }

    /** Returns whether a worker is known and neither ejected, probing nor draining. */
    public boolean isActive(WorkerId id) {
        return workers.containsKey(id) && workers.get(id).state == WorkerHealth.State.ACTIVE;
    }

    /** Returns the number of workers, including draining ones. */
    public int size() {
        return workers.size();
    }
}
