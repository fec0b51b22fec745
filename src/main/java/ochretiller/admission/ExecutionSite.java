package ochretiller.admission;

import java.util.Optional;

/** Where a run executes: on the cores of this server, or in a named pool of workers. */
final class ExecutionSite {
    /** The cores of this server, bounded by {@link ConcurrencyLimiter}. */
    static final ExecutionSite LOCAL_CORES = new ExecutionSite("");

    private final String poolName;

    private ExecutionSite(String poolName) {
        this.poolName = poolName;
    }

    /** Returns the site of a worker pool, or the local cores if no pool is given. */
    static ExecutionSite of(Optional<String> poolName) {
        return poolName.map(ExecutionSite::new).orElse(LOCAL_CORES);
    }

    boolean isLocal() {
        return this == LOCAL_CORES;
    }

    /** Returns the name of the worker pool; empty for the local cores. */
    String poolName() {
        return poolName;
    }

    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof ExecutionSite site
                        && !isLocal()
                        && !site.isLocal()
                        && site.poolName.equals(poolName);
    }

    @Override
    public int hashCode() {
        return poolName.hashCode();
    }

    @Override
    public String toString() {
        return isLocal() ? "local cores" : "worker pool " + poolName;
    }
}
