package ochretiller.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.fleet.service.ReplicationSettings;
import ochretiller.model.Operation;
import ochretiller.operator.OperatorConfig;
import ochretiller.paths.PathPattern;
import ochretiller.settings.MalformedException;
import ochretiller.uwsgi.Route;
import ochretiller.workers.WorkerPoolConfig;

/**
 * Resolves the operation and server names in an operators' file against the server configuration,
 * and checks the file's limits. Any thread.
 */
public final class OperatorConfigResolver {
    private static final Logger LOG = Logger.getLogger(OperatorConfigResolver.class.getName());

    /**
     * Connections to workers may use the file descriptor limit divided by this number; client
     * connections may use half of the limit.
     */
    private static final int POOL_DESCRIPTORS_DIVISOR = 3;

    private OperatorConfigResolver() {}

    /**
     * Checks that an operators' file fits the configuration.
     *
     * @throws MalformedException if a name is not configured or a limit is exceeded
     */
    public static void check(OperatorConfig operator, ServerConfiguration configuration) {
        uwsgiRoutes(operator, configuration);
        workerPoolConfigs(operator, configuration);
        operator.fleet().ifPresent(fleet -> checkFleet(fleet, configuration));
    }

    /**
     * Checks the replication settings against the server's name and operations.
     *
     * @throws MalformedException if a voter has no voter file, or an operation is not configured
     */
    static void checkFleet(FleetSettings fleet, ServerConfiguration configuration) {
        ReplicationSettings replication = fleet.replication();
        if (replication == null) {
            return;
        }
        if (replication.acceptors().contains(configuration.name())
                && replication.acceptorFile() == null) {
            throw new MalformedException(
                    "fleet: " + configuration.name() + " is a voter and needs voter_file");
        }
        for (String operation : replication.claimModes().modesByOperation().keySet()) {
            if (!configuration.operations().containsKey(operation)) {
                throw new MalformedException("fleet: modes: no operation " + operation);
            }
        }
    }

    /**
     * Resolves the routes of the uwsgi frontend; overlapping routes are logged as warnings.
     *
     * @throws MalformedException if a route's operation is not configured, or it can never match
     */
    static List<Route> uwsgiRoutes(OperatorConfig operator, ServerConfiguration configuration) {
        if (operator.uwsgi().isEmpty()) {
            return List.of();
        }
        Map<String, Operation> operations = configuration.operations();
        List<Route> routes = new ArrayList<>();
        for (OperatorConfig.Route route : operator.uwsgi().get().routes()) {
            Operation operation = operations.get(route.operation());
            if (operation == null) {
                throw new MalformedException(
                        "route " + route.path() + ": no operation " + route.operation());
            }
            routes.add(
                    new Route(
                            route.method(),
                            PathPattern.parse(route.path()),
                            operation,
                            route.memoryKb()));
        }
        Route.check(routes).forEach(LOG::warning);
        return routes;
    }

    /**
     * Resolves the worker pools.
     *
     * @throws MalformedException if a pool's operation is not configured, or the pools may open too
     *     many connections
     */
    static List<WorkerPoolConfig> workerPoolConfigs(
            OperatorConfig operator, ServerConfiguration configuration) {
        Map<String, Operation> operations = configuration.operations();
        List<WorkerPoolConfig> configs = new ArrayList<>();
        long connections = 0;
        for (OperatorConfig.Pool pool : operator.pools()) {
            WorkerPoolConfig config = workerPoolConfig(pool, operations);
            connections += config.maxConnections();
            configs.add(config);
        }
        if (connections > configuration.maxDescriptors() / POOL_DESCRIPTORS_DIVISOR) {
            throw new MalformedException(
                    "the pools may open "
                            + connections
                            + " connections, over 1/"
                            + POOL_DESCRIPTORS_DIVISOR
                            + " of the "
                            + configuration.maxDescriptors()
                            + " descriptors: lower most_in_flight");
        }
        return configs;
    }

    private static WorkerPoolConfig workerPoolConfig(
            OperatorConfig.Pool pool, Map<String, Operation> operations) {
        List<WorkerPoolConfig.Target> targets = new ArrayList<>();
        for (OperatorConfig.Target run : pool.targets()) {
            if (!operations.containsKey(run.operation())) {
                throw new MalformedException(
                        "pool " + pool.name() + ": no operation " + run.operation());
            }
            targets.add(new WorkerPoolConfig.Target(run.operation(), run.method(), run.path()));
        }
        return new WorkerPoolConfig(
                pool.name(),
                pool.settings(),
                pool.lateAnswerTime(),
                pool.addresses(),
                List.copyOf(targets));
    }
}
