/**
 * Announces this server to the registry, the service (called roster on the wire) that tells
 * gateways which servers there are. {@link ochretiller.registry.RegistryReporter} sends one UDP
 * datagram a report; nothing is received. Belongs to the event loop; it depends on {@code net} for
 * the event loop only.
 */
package ochretiller.registry;
