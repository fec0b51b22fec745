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
 * Chooses workers. Of two that chance picks, the one whose next answer is due sooner gets the
 * request: nearly as good as the best of all, and many choosers that know the same do not all run
 * to the same worker.
 */
public final class WorkerSelector {
    /** Workers of one pool: more want more than one pool. */
    private static final int MOST = 1_000;

    /** Times the usual time from which a request that was given up counts against its worker. */
    private static final double FAR = 4;

    /** The usual time, seconds, where nothing was answered of late. */
    private static final double UNKNOWN = 0.25;

    private PoolSettings settings;
    private final SplittableRandom chance;
    private final Map<WorkerId, WorkerHealth> workers = new LinkedHashMap<>();
    private double retries;

    /** How long good answers of all workers take of late. */
    private final SlidingWindow usual =
            new SlidingWindow(WorkerHealth.BUCKET, WorkerHealth.BUCKETS);

    public WorkerSelector(PoolSettings settings, SplittableRandom chance) {
        this.settings = settings;
        this.chance = chance;
        this.retries = settings.retryBurst();
    }

    /** A new worker, which comes to its full part slowly; one that was drained comes back. */
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
            worker.inFlight = known.inFlight; // what it still has is its own
            worker.away = known.away;
        }
        workers.put(id, worker);
    }

    /** It gets nothing more; it is forgotten once all that it has is over. */
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
     * What a view of the fleet says of a worker: one that is not there gets requests only where no
     * other can.
     */
    public void seen(WorkerId id, boolean there) {
        WorkerHealth worker = workers.get(id);
        if (worker != null) {
            worker.away = !there;
        }
    }

    /** Other settings hold from here on; what is in flight stays. */
    public void become(PoolSettings next) {
        settings = next;
        retries = Math.min(retries, next.retryBurst());
    }

    /** Brings the pool to this list, as a new configuration has it. */
    public void become(List<WorkerId> ids, Duration now) {
        for (WorkerId id : List.copyOf(workers.keySet())) {
            if (!ids.contains(id)) {
                drain(id);
            }
        }
        // The first list names workers that have long been there, as far as can be known: only
        // later ones come slowly.
        boolean first = workers.isEmpty();
        for (WorkerId id : ids) {
            add(id, now, !first);
        }
    }

    /**
     * The worker for a first try, or none where all are full, out or drained; it counts as in
     * flight until {@link #ended}.
     */
    public Optional<WorkerId> choose(Duration now) {
        retries = Math.min(settings.retryBurst(), retries + settings.retryShare());
        return pick(now, null);
    }

    /**
     * Another worker for a request that is proven not to have begun on the one before, or none:
     * also where the budget of second tries is spent, since at a total failure they would double
     * the load on whatever comes back.
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
        // Guards against a view that sees nobody because its own server is cut off: then the
        // workers' answers alone count.
        if (open.stream().anyMatch(worker -> !worker.away)) {
            open.removeIf(worker -> worker.away);
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        // One that is being tried has to get its probes, or it would never come back beside faster
        // ones.
        WorkerHealth chosen =
                open.stream()
                        .filter(worker -> worker.state == WorkerHealth.State.TRIED)
                        .findFirst()
                        .orElse(null);
        if (chosen == null) {
            int first = chance.nextInt(open.size());
            // Two that differ: one that is drawn twice would be chosen however slow it is.
            int second =
                    open.size() == 1
                            ? first
                            : (first + 1 + chance.nextInt(open.size() - 1)) % open.size();
            WorkerHealth one = open.get(first);
            WorkerHealth other = open.get(second);
            chosen = one.cost(settings, now) <= other.cost(settings, now) ? one : other;
        }
        chosen.inFlight++;
        return Optional.of(chosen.id);
    }

    /**
     * A request to it is over; an answer that comes after its request was given up is not told here
     * a second time.
     */
    public void ended(WorkerId id, RequestOutcome end, Duration took, Duration now) {
        WorkerHealth worker = workers.get(id);
        if (worker == null) {
            return;
        }
        if (end == RequestOutcome.ANSWERED) {
            usual.add(now, inSeconds(took), 1);
        }
        // Given up after far longer than usual it says as much as silence; sooner it says nothing
        // of its worker.
        boolean silent =
                end == RequestOutcome.GIVEN_UP && inSeconds(took) > FAR * usual.mean(now, UNKNOWN);
        worker.ended(silent ? RequestOutcome.SILENT : end, took, settings, now);
        if (worker.state == WorkerHealth.State.DRAINED && worker.inFlight == 0) {
            workers.remove(id);
        }
    }

    /** Requests that all workers may have at once, as they are now. */
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

    /** How many of it are in flight, or 0 where it is not known. */
    public int inFlight(WorkerId id) {
        return workers.containsKey(id) ? workers.get(id).inFlight : 0;
    }

    /** Whether it gets requests as any other does. */
    public boolean in(WorkerId id) {
        return workers.containsKey(id) && workers.get(id).state == WorkerHealth.State.IN;
    }

    public int size() {
        return workers.size();
    }
}
