package ochretiller.fleet.service;

import java.util.random.RandomGenerator;
import ochretiller.metrics.Metrics;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;

/**
 * Process-wide dependencies of the fleet service.
 *
 * @param scheduler the event loop
 * @param network accepts admin connections
 * @param random source of all random numbers except the incarnation
 * @param metrics registry for the metrics of the fleet
 */
public record FleetRuntime(
        Scheduler scheduler, Network network, RandomGenerator random, Metrics metrics) {}
