package ochretiller.model;

/**
 * The server's own gauges; NaN where the server has no such gauge.
 *
 * @param coreUse share of the cores busy of late
 * @param onCores all that asks for a core now: runs, reading, checks, new connections
 * @param memoryShare share of the memory in use
 * @param connections connections open
 */
public record Gauges(double coreUse, double onCores, double memoryShare, double connections) {
    public static final Gauges NONE = new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
