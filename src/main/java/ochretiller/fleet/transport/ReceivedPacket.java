package ochretiller.fleet.transport;

import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipPacket;

/**
 * A packet that has been authenticated and decoded.
 *
 * @param sender as the sender described itself
 * @param message a {@link MembershipMessage}, or a message of consensus, replication or rollout
 * @param sequence grows with each packet of one incarnation of the sender
 * @param epoch always 0 in version 1 of the protocol
 */
public record ReceivedPacket(Member sender, Object message, long sequence, long epoch) {
    /**
     * Returns the packet as the membership protocol takes it.
     *
     * @throws ClassCastException if the message is of another family
     */
    public MembershipPacket packet() {
        return new MembershipPacket(sender, (MembershipMessage) message);
    }
}
