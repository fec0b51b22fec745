package ochretiller.fleet.membership;

import java.util.List;

/**
 * What servers say to one another; the sender's own record goes with each, in the {@link
 * MembershipPacket}.
 */
public sealed interface MembershipMessage {
    /**
     * Most of {@code entries} and of {@code full} in one message, so that it fits a datagram of
     * 1,400 bytes.
     */
    int MAX_GOSSIP_UPDATES = 48;

    int MAX_GOSSIP_MEMBERS = 4;

    /** Most in a message that brings nothing else. */
    int MAX_PAGE_UPDATES = 60;

    int MAX_PAGE_MEMBERS = 10;

    /** Parts into which a view is divided to find what differs. */
    int DIGEST_BUCKETS = 64;

    /**
     * Are you there?
     *
     * @param target the start that is asked for; 0 for whoever is at the address
     * @param gossip what is said of members
     * @param members members that the receiver may not know
     * @param digest of the sender's whole view
     */
    record Ping(long nonce, long target, Gossip gossip, long digest) implements MembershipMessage {}

    /** Here I am: the answer to a {@link Ping}, by whoever got it. */
    record Ack(long nonce, Gossip gossip, long digest) implements MembershipMessage {}

    /** Ask that one for me. */
    record PingRequest(long nonce, long target, PeerAddress address) implements MembershipMessage {}

    /** That one has answered me. */
    record IndirectAck(long nonce, MembershipUpdate target) implements MembershipMessage {}

    /**
     * Digests of the parts of a view; the answer is {@link UpdatePage} of those that differ.
     *
     * @param reciprocal whether the receiver is to ask in the same way
     */
    record DigestSync(List<Long> digests, boolean reciprocal) implements MembershipMessage {}

    /** A page of entries. */
    record UpdatePage(List<MembershipUpdate> updates) implements MembershipMessage {}

    /** Tell me all of these starts. */
    record MemberRequest(List<Long> incarnations) implements MembershipMessage {}

    /** Members in full. */
    record MemberPage(List<Member> members) implements MembershipMessage {}

    /** What goes with a message anyway. */
    record Gossip(List<MembershipUpdate> updates, List<Member> members) {
        static final Gossip NONE = new Gossip(List.of(), List.of());
    }
}
