package ochretiller.fleet.membership;

/**
 * One message between members.
 *
 * @param sender its own record, as it is when the message is sent
 */
public record MembershipPacket(Member sender, MembershipMessage message) {}
