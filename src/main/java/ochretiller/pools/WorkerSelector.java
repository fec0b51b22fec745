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
 * Chooses workers by the power of two random choices (Mitzenmacher 2001): of two workers that are
 * drawn at random, the one with the lower expected delay gets the request. That is nearly as good as
 * the best of all, and servers that know the same do not all choose the same worker.
 */
public final class WorkerSelector {
    /** Most workers of one pool. */
    private static final int MOST = 1_000;

    /** How many usual latencies a cancelled request must have taken to count as a timeout. */
    private static final double FAR = 4;

    /** The usual latency where nothing was answered recently, in seconds. */
    private static final double UNKNOWN = 0.25;

    private PoolSettings settings;
    private final SplittableRandom chance;
    private final Map<WorkerId, WorkerHealth> workers = new LinkedHashMap<>();
    private double retries;

    /** Recent latencies of all workers, in seconds. */
    private final SlidingWindow usual =
            new SlidingWindow(WorkerHealth.BUCKET, WorkerHealth.BUCKETS);

    /**
     * A pool without workers.
     *
     * @param chance random numbers for the choice
     */
    public WorkerSelector(PoolSettings settings, SplittableRandom chance) {
        this.settings = settings;
        this.chance = chance;
        this.retries = settings.retryBurst();
    }

    /** Adds a worker with slow start, or takes back one that is drained. */
    public void add(WorkerId id, Duration now) {
        add(id, now, true);
    }

    private void add(WorkerId id, Duration now, boolean fresh) {
        WorkerHealth known = workers.get(id);
        if (known != null && known.state != WorkerHealth.State.DRAINED) {
            return;
        }
        if (known == null && workers.size() >= MOST) {
            throw new IllegalStateException("over " + MOST + " workers in a pool");
        }
        WorkerHealth worker =
                new WorkerHealth(
                        id, fresh ? now : now.minus(settings.slowStart()), settings.leftOut());
        if (known != null) {
            worker.inFlight = known.inFlight;
            worker.away = known.away;
        }
        workers.put(id, worker);
    }

    /** Removes a worker once its requests in flight are over; it gets no new ones. */
    public void drain(WorkerId id) {
        WorkerHealth worker = workers.get(id);
        if (worker == null) {
            return;
        }
        worker.state = WorkerHealth.State.DRAINED;
        if (worker.inFlight == 0) {
            workers.remove(id);
        }
    }

    /**
     * Notes what the fleet's membership shows of a worker; one that is unreachable gets requests
     * only where no other worker can.
     */
    public void seen(WorkerId id, boolean there) {
        WorkerHealth worker = workers.get(id);
        if (worker != null) {
            worker.away = !there;
        }
    }

    /** Changes the settings; requests in flight are not affected. */
    public void become(PoolSettings next) {
        settings = next;
        retries = Math.min(retries, next.retryBurst());
    }

    /** Adds and drains workers so that these are left. */
    public void become(List<WorkerId> ids, Duration now) {
        for (WorkerId id : List.copyOf(workers.keySet())) {
            if (!ids.contains(id)) {
                drain(id);
            }
        }
        // At the start all workers are assumed to be warm: slow start is for later ones.
        boolean first = workers.isEmpty();
        for (WorkerId id : ids) {
            add(id, now, !first);
        }
    }

    /**
     * Chooses the worker for an original request, which counts as in flight until {@link #ended}.
     *
     * @return the worker, or empty where all are full, ejected or drained
     */
    public Optional<WorkerId> choose(Duration now) {
        retries = Math.min(settings.retryBurst(), retries + settings.retryShare());
        return pick(now, null);
    }

    /**
     * Chooses another worker for a request that never ran on the one before.
     *
     * @return the worker, or empty where there is none or the retry budget is spent: in a total
     *     failure retries would double the load on the workers that recover
     */
    public Optional<WorkerId> chooseAgain(WorkerId before, RequestOutcome end, Duration now) {
        if (!end.mayGoElsewhere() || retries < 1) {
            return Optional.empty();
        }
        Optional<WorkerId> other = pick(now, before);
        if (other.isPresent()) {
            retries--;
        }
        return other;
    }

    private Optional<WorkerId> pick(Duration now, WorkerId not) {
        List<WorkerHealth> open = new ArrayList<>();
        for (WorkerHealth worker : workers.values()) {
            if (!worker.id.equals(not) && worker.takes(settings, now)) {
                open.add(worker);
            }
        }
        // Where membership shows no worker as reachable, this server may be cut off from the fleet
        // only: then it is ignored.
        if (open.stream().anyMatch(worker -> !worker.away)) {
            open.removeIf(worker -> worker.away);
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        WorkerHealth chosen =
                open.stream()
                        .filter(worker -> worker.state == WorkerHealth.State.TRIED)
                        .findFirst() // or it would never be readmitted beside faster workers
                        .orElseGet(() -> betterOfTwo(open, now));
        chosen.inFlight++;
        return Optional.of(chosen.id);
    }

    private WorkerHealth betterOfTwo(List<WorkerHealth> open, Duration now) {
        int first = chance.nextInt(open.size());
        if (open.size() == 1) {
            return open.get(first);
        }
        // Two different workers: one that is drawn twice would be chosen however slow it is.
        int second = (first + 1 + chance.nextInt(open.size() - 1)) % open.size();
        WorkerHealth one = open.get(first);
        WorkerHealth other = open.get(second);
        return one.cost(settings, now) <= other.cost(settings, now) ? one : other;
    }

    /** A request is over; called once for each, also where a late answer follows. */
    public void ended(WorkerId id, RequestOutcome end, Duration took, Duration now) {
        WorkerHealth worker = workers.get(id);
        if (worker == null) {
            return;
        }
        if (end == RequestOutcome.ANSWERED) {
            usual.add(now, inSeconds(took), 1);
        }
        // A request that was cancelled after far longer than usual counts as timed out; one that was
        // cancelled sooner says nothing about the worker.
        boolean silent =
                end == RequestOutcome.GIVEN_UP && inSeconds(took) > FAR * usual.mean(now, UNKNOWN);
        worker.ended(silent ? RequestOutcome.SILENT : end, took, settings, now);
        if (worker.state == WorkerHealth.State.DRAINED && worker.inFlight == 0) {
            workers.remove(id);
        }
    }

    /** How many requests all workers together may have in flight now. */
    public int places(Duration now) {
        int places = 0;
        for (WorkerHealth worker : workers.values()) {
            places += worker.most(settings, now);
        }
        return places;
    }

    /** How many more requests the workers would take now. */
    public int free(Duration now) {
        int free = 0;
        for (WorkerHealth worker : workers.values()) {
            free += Math.max(0, worker.most(settings, now) - worker.inFlight);
        }
        return free;
    }

    /** How many requests a worker has in flight; 0 where it is unknown. */
    public int inFlight(WorkerId id) {
        return workers.containsKey(id) ? workers.get(id).inFlight : 0;
    }

    /** Whether a worker is known and neither ejected, probing nor drained. */
    public boolean in(WorkerId id) {
        return workers.containsKey(id) && workers.get(id).state == WorkerHealth.State.IN;
    }

    /** How many workers there are, with those that are drained. */
    public int size() {
        return workers.size();
    }
}
