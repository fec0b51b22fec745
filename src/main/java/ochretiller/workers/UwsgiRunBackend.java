package ochretiller.workers;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.metrics.Metrics;
import ochretiller.net.CloseCode;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.pools.RequestOutcome;
import ochretiller.pools.WorkerId;

/**
 * Runs operations as requests to pools of uwsgi workers, with one request a connection as their
 * protocol has it. Belongs to the event loop.
 */
public final class UwsgiRunBackend implements RunBackend {
    private static final Logger LOG = Logger.getLogger(UwsgiRunBackend.class.getName());

    private final Scheduler schedule;
    private final Network network;
    private final Map<String, WorkerPool> pools = new LinkedHashMap<>();
    private final Map<String, WorkerPool> poolsByOperation = new LinkedHashMap<>();
    private final Map<String, WorkerPoolConfig.Target> targets = new LinkedHashMap<>();
    private final Map<String, WorkerRun> runs = new LinkedHashMap<>();
    private final Set<WorkerConnection> connections = new LinkedHashSet<>();

    /**
     * A backend without connections.
     *
     * @param schedule the event loop
     * @param network makes the connections
     * @param plans the pools; each operation belongs to one of them at most
     * @param chance random numbers for choosing workers
     * @param metrics takes the pools' metrics
     */
    public UwsgiRunBackend(
            Scheduler schedule,
            Network network,
            List<WorkerPoolConfig> plans,
            SplittableRandom chance,
            Metrics metrics) {
        this.schedule = schedule;
        this.network = network;
        for (WorkerPoolConfig config : plans) {
            WorkerPool pool = new WorkerPool(config, chance.split(), metrics);
            pool.reconfigure(config, schedule.now());
            pools.put(config.name(), pool);
            for (WorkerPoolConfig.Target target : config.runs()) {
                poolsByOperation.put(target.operation(), pool);
                targets.put(target.operation(), target);
            }
        }
    }

    /**
     * Takes new workers and settings for the pools that are there; removed workers finish what they
     * have. Pools that are new or gone need a restart, which is logged.
     *
     * @param plans the new configuration
     */
    public void become(List<WorkerPoolConfig> plans) {
        Duration now = schedule.now();
        for (WorkerPoolConfig config : plans) {
            WorkerPool pool = pools.get(config.name());
            if (pool == null) {
                LOG.warning("pool " + config.name() + " is new: it needs a restart");
            } else {
                pool.reconfigure(config, now);
            }
        }
        for (String name : pools.keySet()) {
            if (plans.stream().noneMatch(config -> config.name().equals(name))) {
                LOG.warning(
                        "pool "
                                + name
                                + " is gone from the operators' file: it stays until a restart");
            }
        }
    }

    /**
     * Notes what the fleet's membership shows of a worker.
     *
     * @param address the worker's address
     * @param there whether it is reachable
     */
    public void seen(String address, boolean there) {
        pools.values().forEach(pool -> pool.observe(new WorkerId(address), there));
    }

    /**
     * The pool of an operation.
     *
     * @return the pool's name, or null where the operation runs on the processor
     */
    public String pool(String operation) {
        WorkerPool pool = poolsByOperation.get(operation);
        return pool == null ? null : pool.name;
    }

    /** How many runs the workers of a pool may have at once. */
    public int places(String pool) {
        return pools.get(pool).capacity(schedule.now());
    }

    /** How many more runs the workers of a pool can take. */
    public int free(String pool) {
        return pools.get(pool).freeSlots(schedule.now());
    }

    /**
     * Counts admitted runs that are not started yet, so that each finds a free slot.
     *
     * @param operation the operation's name
     * @param more how many more; negative where runs will not be started after all. {@link
     *     #startRun} takes one off itself
     */
    public void expect(String operation, int more) {
        poolsByOperation.get(operation).expectedRuns += more;
    }

    @Override
    public void startRun(RunRequest task, RunListener then) {
        WorkerPool pool = poolsByOperation.get(task.operationName());
        WorkerPoolConfig.Target target = targets.get(task.operationName());
        WorkerRun run = new WorkerRun(this, schedule, network, pool, target, task, then);
        pool.expectedRuns--;
        runs.put(task.requestId(), run);
        run.start();
    }

    @Override
    public void cancelRun(String rid) {
        WorkerRun run = runs.get(rid);
        if (run != null) {
            run.abandon(RequestOutcome.GIVEN_UP);
        }
    }

    /** Closes all connections at once. */
    public void close() {
        List.copyOf(connections).forEach(connection -> connection.drop(CloseCode.LEAVING));
    }

    void add(WorkerConnection connection) {
        connections.add(connection);
    }

    void remove(WorkerConnection connection) {
        connections.remove(connection);
    }

    /** A run is over. */
    void remove(WorkerRun run) {
        runs.remove(run.requestId(), run);
    }
}
