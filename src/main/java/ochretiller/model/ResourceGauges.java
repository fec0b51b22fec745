package ochretiller.model;

/**
 * The server's own gauges; NaN where the server has no such gauge.
 *
 * @param cpuUtilization share of the cores busy of late
 * @param runnableTasks all that asks for a core now: runs, reading, checks, new connections
 * @param memoryUtilization share of the memory in use
 * @param openConnections connections open
 */
public record ResourceGauges(
        double cpuUtilization,
        double runnableTasks,
        double memoryUtilization,
        double openConnections) {
    public static final ResourceGauges UNKNOWN =
            new ResourceGauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
