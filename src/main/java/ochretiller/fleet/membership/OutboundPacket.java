package ochretiller.fleet.membership;

/** A packet to send, and where to. */
public record OutboundPacket(PeerAddress destination, MembershipPacket packet) {}
