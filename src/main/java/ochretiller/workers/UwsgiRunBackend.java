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
 * Runs operations as requests to pools of uwsgi workers. As the protocol requires, each connection
 * carries one request. Confined to the event loop thread.
 */
public final class UwsgiRunBackend implements RunBackend {
    private static final Logger LOG = Logger.getLogger(UwsgiRunBackend.class.getName());

    private final Scheduler scheduler;
    private final Network network;
    private final Map<String, WorkerPool> pools = new LinkedHashMap<>();
    private final Map<String, WorkerPool> poolsByOperation = new LinkedHashMap<>();
    private final Map<String, WorkerPoolConfig.Target> targets = new LinkedHashMap<>();
    private final Map<String, WorkerRun> runs = new LinkedHashMap<>();
    private final Set<WorkerConnection> connections = new LinkedHashSet<>();

    /**
     * Creates a backend, which opens connections when runs are started.
     *
     * @param scheduler the event loop
     * @param network opens the connections
     * @param configs the pools; each operation belongs to at most one of them
     * @param random random numbers for choosing workers
     * @param metrics the registry for the metrics of the pools
     */
    public UwsgiRunBackend(
            Scheduler scheduler,
            Network network,
            List<WorkerPoolConfig> configs,
            SplittableRandom random,
            Metrics metrics) {
        this.scheduler = scheduler;
        this.network = network;
        for (WorkerPoolConfig config : configs) {
            WorkerPool pool = new WorkerPool(config, random.split(), metrics);
            pool.reconfigure(config, scheduler.now());
            pools.put(config.name(), pool);
            for (WorkerPoolConfig.Target target : config.targets()) {
                poolsByOperation.put(target.operation(), pool);
                targets.put(target.operation(), target);
            }
        }
    }

    /**
     * Changes the workers and settings of the existing pools; removed workers finish their requests
     * in flight. Added and removed pools only take effect after a restart, which is logged.
     *
     * @param configs the new configuration
     */
    public void reconfigure(List<WorkerPoolConfig> configs) {
        Duration now = scheduler.now();
        for (WorkerPoolConfig config : configs) {
            WorkerPool pool = pools.get(config.name());
            if (pool == null) {
                LOG.warning("pool " + config.name() + " is new and inactive until a restart");
            } else {
                pool.reconfigure(config, now);
            }
        }
        for (String name : pools.keySet()) {
            if (configs.stream().noneMatch(config -> config.name().equals(name))) {
                LOG.warning(
                        "pool "
                                + name
                                + " is no longer configured but stays active until a restart");
            }
        }
    }

    /**
     * Records whether the fleet's membership shows a worker as reachable.
     *
     * @param address the worker's address
     * @param isReachable whether it is reachable
     */
    public void setReachable(String address, boolean isReachable) {
        pools.values().forEach(pool -> pool.setReachable(new WorkerId(address), isReachable));
    }

    /**
     * Returns the name of the pool that runs an operation, or null if the operation runs on the
     * processor.
     */
    public String poolOf(String operation) {
        WorkerPool pool = poolsByOperation.get(operation);
        return pool == null ? null : pool.name;
    }

    /** Returns the maximum of concurrent runs on the workers of a pool. */
    public int capacity(String pool) {
        return pools.get(pool).capacity(scheduler.now());
    }

    /** Returns how many more runs the workers of a pool can take. */
    public int freeSlots(String pool) {
        return pools.get(pool).freeSlots(scheduler.now());
    }

    /**
     * Changes the number of admitted runs that are not started yet; each of them reserves a slot.
     *
     * @param operation the operation's name
     * @param delta runs to add; negative for runs that will not be started. {@link #startRun}
     *     itself subtracts the run that it starts
     */
    public void addExpectedRuns(String operation, int delta) {
        poolsByOperation.get(operation).expectedRuns += delta;
    }

    @Override
    public void startRun(RunRequest request, RunListener listener) {
        WorkerPool pool = poolsByOperation.get(request.operationName());
        WorkerPoolConfig.Target target = targets.get(request.operationName());
        WorkerRun run = new WorkerRun(this, scheduler, network, pool, target, request, listener);
        pool.expectedRuns--;
        runs.put(request.requestId(), run);
        run.start();
    }

    @Override
    public void cancelRun(String requestId) {
        WorkerRun run = runs.get(requestId);
        if (run != null) {
            run.abandon(RequestOutcome.CANCELLED);
        }
    }

    /** Closes all connections immediately. */
    public void close() {
        List.copyOf(connections).forEach(connection -> connection.drop(CloseCode.LEAVING));
    }

    void add(WorkerConnection connection) {
        connections.add(connection);
    }

    void remove(WorkerConnection connection) {
        connections.remove(connection);
    }

    /** Removes a run that has finished. */
    void remove(WorkerRun run) {
        runs.remove(run.requestId(), run);
    }
}
