package ochretiller.fleet.membership;

/** A packet to send and its destination. */
public record OutboundPacket(PeerAddress destination, MembershipPacket packet) {}
