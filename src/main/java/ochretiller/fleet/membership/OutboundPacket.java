package ochretiller.fleet.membership;

/** A packet that is to go out. */
public record OutboundPacket(PeerAddress destination, MembershipPacket packet) {}
