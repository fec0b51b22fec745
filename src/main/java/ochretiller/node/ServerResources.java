package ochretiller.node;

import ochretiller.frontend.ClientConnections;
import ochretiller.jsonrpc.HealthChecks;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.processor.ProcessorClient;
import ochretiller.records.RecordsClient;

/**
 * What every server has, whatever its operators have switched on.
 *
 * @param scheduler the event loop
 * @param network all sockets
 * @param connections the connections of clients, over all frontends
 * @param health what health checks are answered with
 * @param processor the connection to the processor
 * @param records the connections to the records service
 */
record ServerResources(
        Scheduler scheduler,
        Network network,
        ClientConnections connections,
        HealthChecks health,
        ProcessorClient processor,
        RecordsClient records) {}
