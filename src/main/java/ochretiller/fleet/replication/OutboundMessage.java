package ochretiller.fleet.replication;

/**
 * A replication message and the server that it is addressed to. Delivery is best effort: the
 * transport may lose, delay, duplicate or reorder it.
 *
 * @param recipient name of the server
 * @param message the message to send
 */
public record OutboundMessage(String recipient, ReplicationMessage message) {}
