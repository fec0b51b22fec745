package ochretiller.fleet.membership;

import java.util.Optional;

/**
 * The target of a probe and its purpose.
 *
 * @param target the incarnation that must answer, or {@link #ANY_INCARNATION}
 * @param requester present for {@link Kind#RELAYED}
 */
record ProbeRequest(Kind kind, long target, PeerAddress address, Optional<Requester> requester) {
    /** Target of a probe that any process at the address may answer; no incarnation is 0. */
    static final long ANY_INCARNATION = 0;

    /** The purpose of a probe. */
    enum Kind {
        /** A probe of the round or of a suspect (SWIM, section 3.1); failure causes suspicion. */
        SCHEDULED,
        /** Checks whether a process that does not count as alive answers; failure has no effect. */
        VERIFICATION,
        /** Probes on behalf of a member that sent a ping request (SWIM's ping-req). */
        RELAYED
    }

    /**
     * The member that requested a {@link Kind#RELAYED} probe.
     *
     * @param address where to send the indirect acknowledgement
     * @param nonce the nonce of the requester's own probe
     */
    record Requester(PeerAddress address, long nonce) {}

    static ProbeRequest scheduled(Member member) {
        return new ProbeRequest(
                Kind.SCHEDULED, member.incarnation(), member.address(), Optional.empty());
    }

    static ProbeRequest verification(Member member) {
        return new ProbeRequest(
                Kind.VERIFICATION, member.incarnation(), member.address(), Optional.empty());
    }

    static ProbeRequest verification(PeerAddress address) {
        return new ProbeRequest(Kind.VERIFICATION, ANY_INCARNATION, address, Optional.empty());
    }

    static ProbeRequest relayed(MembershipMessage.PingRequest request, PeerAddress requester) {
        return new ProbeRequest(
                Kind.RELAYED,
                request.target(),
                request.address(),
                Optional.of(new Requester(requester, request.nonce())));
    }
}
