package ochretiller.fleet.membership;

import java.util.List;

/**
 * What members send one another. The sender's own record goes with each message in a {@link
 * MembershipPacket}. The bytes are described in docs/fleet-wire.md.
 */
public sealed interface MembershipMessage {
    /** Updates that ride on one message at most, so that it fits a datagram of 1,400 bytes. */
    int MAX_GOSSIP_UPDATES = 48;

    /** Whole records that ride on one message at most, for the same reason. */
    int MAX_GOSSIP_MEMBERS = 4;

    /** Updates in an {@link UpdatePage} at most. */
    int MAX_PAGE_UPDATES = 60;

    /** Records in a {@link MemberPage} at most. */
    int MAX_PAGE_MEMBERS = 10;

    /** Buckets into which a view is divided to find what differs. */
    int DIGEST_BUCKETS = 64;

    /**
     * Asks for an {@link Ack} (SWIM's ping).
     *
     * @param nonce returned with the answer
     * @param target the incarnation that is asked; 0 for whoever is at the address
     * @param digest of the sender's whole view
     */
    record Ping(long nonce, long target, Gossip gossip, long digest) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, by whoever received it.
     *
     * @param nonce of the ping
     * @param digest of the sender's whole view
     */
    record Ack(long nonce, Gossip gossip, long digest) implements MembershipMessage {}

    /**
     * Asks the recipient to ping another member for the sender (SWIM's ping-req).
     *
     * @param nonce returned with the answer
     * @param target the incarnation to ping
     * @param address where the target is reached
     */
    record PingRequest(long nonce, long target, PeerAddress address) implements MembershipMessage {}

    /**
     * Reports that the target of a {@link PingRequest} has answered the sender.
     *
     * @param nonce of the request
     * @param target what the target says of itself
     */
    record IndirectAck(long nonce, MembershipUpdate target) implements MembershipMessage {}

    /**
     * Compares views; answered by {@link UpdatePage}s of the buckets that differ.
     *
     * @param digests one for each bucket
     * @param reciprocal whether the recipient is to compare in the same way
     */
    record DigestSync(List<Long> digests, boolean reciprocal) implements MembershipMessage {}

    /** Updates that nobody else carries: the answer to a comparison, or that a member leaves. */
    record UpdatePage(List<MembershipUpdate> updates) implements MembershipMessage {}

    /** Requests the records of members that the sender does not know. */
    record MemberRequest(List<Long> incarnations) implements MembershipMessage {}

    /** The records that a {@link MemberRequest} asks for. */
    record MemberPage(List<Member> members) implements MembershipMessage {}

    /**
     * News of members that rides on a message (SWIM's piggybacked dissemination).
     *
     * @param updates of members that the recipient should know
     * @param members whole records of those that it may not know
     */
    record Gossip(List<MembershipUpdate> updates, List<Member> members) {
        static final Gossip NONE = new Gossip(List.of(), List.of());
    }
}
