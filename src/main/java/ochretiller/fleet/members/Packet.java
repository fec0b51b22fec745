package ochretiller.fleet.members;

/**
 * One message.
 *
 * @param from the sender, as it is now
 */
public record Packet(Member from, Message message) {}
