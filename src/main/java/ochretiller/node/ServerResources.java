package ochretiller.node;

import ochretiller.frontend.ClientConnections;
import ochretiller.jsonrpc.HealthChecks;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.processor.ProcessorClient;
import ochretiller.records.RecordsClient;

/**
 * The components that every server has, independent of the enabled features.
 *
 * @param scheduler the event loop
 * @param network all sockets
 * @param connections the client connections of all frontends
 * @param health the state that health checks report
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
