package ochretiller.fleet.service;

import java.util.random.RandomGenerator;
import ochretiller.metrics.Metrics;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;

/**
 * What a process lends to its fleet service.
 *
 * @param scheduler the event loop
 * @param network listens for the operators' commands
 * @param random source of all random numbers but the incarnation
 * @param metrics where the figures of the fleet are registered
 */
public record FleetRuntime(
        Scheduler scheduler, Network network, RandomGenerator random, Metrics metrics) {}
