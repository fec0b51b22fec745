package ochretiller.fleet.membership;

import java.util.Optional;

/**
 * Whom to ping and why.
 *
 * @param target incarnation that has to answer, or {@link #ANY_INCARNATION}
 * @param requester present for {@link Kind#RELAYED}
 */
record ProbeRequest(Kind kind, long target, PeerAddress address, Optional<Requester> requester) {
    /** Target of a probe that asks whoever is at the address; no incarnation is 0. */
    static final long ANY_INCARNATION = 0;

    /** Why a member is pinged. */
    enum Kind {
        /** Its turn in the round of probes (SWIM, section 3.1): a failure makes it suspect. */
        SCHEDULED,
        /** Checks that somebody who does not count as alive can answer: a failure says nothing. */
        VERIFICATION,
        /** Carried out for another member that sent a ping request (SWIM's ping-req). */
        RELAYED
    }

    /**
     * The member that asked for a {@link Kind#RELAYED} probe.
     *
     * @param address where it awaits the indirect acknowledgement
     * @param nonce of its own probe
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
