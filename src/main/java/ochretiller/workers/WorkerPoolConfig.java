package ochretiller.workers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import ochretiller.pools.PoolSettings;

/**
 * One pool as operators want it.
 *
 * @param late how long the answer of a tokened run is still listened for behind its due time
 * @param workers where they listen
 * @param runs what they carry out
 */
public record WorkerPoolConfig(
        String name,
        PoolSettings settings,
        Duration late,
        List<InetSocketAddress> workers,
        List<Target> runs) {
    /** What a worker is asked for when an operation is to run. */
    public record Target(String operation, String method, String path) {}

    /** Connections that this pool may open at once. */
    public long connections() {
        return (long) settings.mostInFlight() * workers.size() + WorkerPool.MOST_LATE;
    }
}
