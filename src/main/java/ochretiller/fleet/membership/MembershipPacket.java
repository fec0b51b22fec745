package ochretiller.fleet.membership;

/**
 * One message.
 *
 * @param sender the sender, as it is now
 */
public record MembershipPacket(Member sender, MembershipMessage message) {}
