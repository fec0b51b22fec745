package ochretiller.fleet.membership;

/**
 * A message between members, with its sender.
 *
 * @param sender the sender's own record at the time of sending
 */
public record MembershipPacket(Member sender, MembershipMessage message) {}
