package ochretiller.fleet.membership;

import java.util.List;

/**
 * Messages between members. Each is sent in a {@link MembershipPacket}, which adds the sender's own
 * record. The encoding is described in docs/fleet-wire.md.
 */
public sealed interface MembershipMessage {
    /** Maximum updates in a {@link Gossip}, so that a message fits a datagram of 1,400 bytes. */
    int MAX_GOSSIP_UPDATES = 48;

    /** Maximum full records in a {@link Gossip}, for the same reason. */
    int MAX_GOSSIP_MEMBERS = 4;

    /** Maximum updates in an {@link UpdatePage}. */
    int MAX_PAGE_UPDATES = 60;

    /** Maximum records in a {@link MemberPage}. */
    int MAX_PAGE_MEMBERS = 10;

    /** Buckets into which a view is divided to locate differences. */
    int DIGEST_BUCKETS = 64;

    /**
     * Asks for an {@link Ack} (SWIM's ping).
     *
     * @param nonce echoed in the answer
     * @param target the probed incarnation; 0 for any process at the address
     * @param digest the digest of the sender's view
     */
    record Ping(long nonce, long target, Gossip gossip, long digest) implements MembershipMessage {}

    /**
     * Answers a {@link Ping}, even one whose target is another incarnation.
     *
     * @param nonce the nonce of the ping
     * @param digest the digest of the sender's view
     */
    record Ack(long nonce, Gossip gossip, long digest) implements MembershipMessage {}

    /**
     * Asks the recipient to ping another member for the sender (SWIM's ping-req).
     *
     * @param nonce echoed in the answer
     * @param target the incarnation to ping
     * @param address the address of the target
     */
    record PingRequest(long nonce, long target, PeerAddress address) implements MembershipMessage {}

    /**
     * Reports that the target of a {@link PingRequest} has answered the sender.
     *
     * @param nonce the nonce of the request
     * @param target the target's own state and state version
     */
    record IndirectAck(long nonce, MembershipUpdate target) implements MembershipMessage {}

    /**
     * Starts a comparison of views; answered by {@link UpdatePage}s for the buckets that differ.
     *
     * @param digests one digest per bucket
     * @param reciprocal whether the recipient, if its view differs, also starts a comparison
     */
    record DigestSync(List<Long> digests, boolean reciprocal) implements MembershipMessage {}

    /** Updates sent without a ping: the answer to a comparison, or an announcement of a leave. */
    record UpdatePage(List<MembershipUpdate> updates) implements MembershipMessage {}

    /** Requests the full records of members that the sender does not know. */
    record MemberRequest(List<Long> incarnations) implements MembershipMessage {}

    /** Full records that answer a {@link MemberRequest}. */
    record MemberPage(List<Member> members) implements MembershipMessage {}

    /**
     * Updates piggybacked on a message (SWIM's dissemination).
     *
     * @param updates updates of members that the recipient should know
     * @param members full records of members that the recipient may not know
     */
    record Gossip(List<MembershipUpdate> updates, List<Member> members) {
        static final Gossip NONE = new Gossip(List.of(), List.of());
    }
}
