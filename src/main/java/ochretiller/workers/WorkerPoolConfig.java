package ochretiller.workers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import ochretiller.pools.PoolSettings;

/**
 * The configuration of one pool in the operators' file.
 *
 * @param name the pool's name
 * @param settings how workers are selected
 * @param lateAnswerTime how long after its deadline the answer of a keyed run is still awaited
 * @param workers the workers' addresses
 * @param targets the operations that the pool runs
 */
public record WorkerPoolConfig(
        String name,
        PoolSettings settings,
        Duration lateAnswerTime,
        List<InetSocketAddress> workers,
        List<Target> targets) {
    /**
     * The request that is sent to a worker to run an operation.
     *
     * @param operation the operation's name
     * @param method the HTTP method of the request
     * @param path the path of the request
     */
    public record Target(String operation, String method, String path) {}

    /** Returns the maximum of concurrently open connections of this pool. */
    public long maxConnections() {
        return (long) settings.maxInFlight() * workers.size()
                + WorkerPool.MAX_LATE_ANSWER_CONNECTIONS;
    }
}
