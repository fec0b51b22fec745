package ochretiller.fleet.transport;

import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipPacket;

/**
 * A packet that has been authenticated and decoded.
 *
 * @param sender the sender's description of itself
 * @param message a {@link MembershipMessage}, or a message of consensus, replication or rollout
 * @param sequence number that increases with each packet of the sender's incarnation
 * @param epoch always 0 in version 1 of the protocol
 */
public record ReceivedPacket(Member sender, Object message, long sequence, long epoch) {
    /**
     * Returns this packet as one of the membership protocol.
     *
     * @throws ClassCastException if the message is of another family
     */
    public MembershipPacket asMembershipPacket() {
        return new MembershipPacket(sender, (MembershipMessage) message);
    }
}
