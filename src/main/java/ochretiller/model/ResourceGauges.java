package ochretiller.model;

/**
 * The most recent resource measurements of a server; NaN for a gauge that the server does not have.
 *
 * @param cpuUtilization share of the cores that were busy recently, 0 to 1
 * @param runnableTasks number of tasks that run or wait for a core: runs, reads, health checks, new
 *     connections
 * @param memoryUtilization share of the memory in use, 0 to 1
 * @param openConnections number of open connections
 */
public record ResourceGauges(
        double cpuUtilization,
        double runnableTasks,
        double memoryUtilization,
        double openConnections) {
    /** No gauge is available. */
    public static final ResourceGauges UNKNOWN =
            new ResourceGauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
