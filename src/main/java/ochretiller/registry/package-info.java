/**
 * Announces this server to the registry (called roster in settings), the service that gives
 * gateways the list of servers. {@link ochretiller.registry.RegistryReporter} sends one UDP
 * datagram per report and receives nothing. Confined to the event loop; depends on {@code net} only
 * for the interface of the event loop.
 */
package ochretiller.registry;
