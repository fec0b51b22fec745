package ochretiller.fleet.membership;

import java.time.Duration;

/** One question that waits for its answer. */
final class Probe {
    /** Why it was asked. */
    enum Kind {
        /** In turn: a failure makes its target suspect. */
        TURN,
        /** To see whether somebody is there who is not thought to be: a failure says nothing. */
        PROOF,
        /** For another server. */
        RELAY
    }

    final Kind kind;
    final long nonce;

    /** Whom it asks; 0 for whoever is there. */
    final long target;

    final PeerAddress address;
    final Duration begun;

    /**
     * Packets that had been heard when it began: whoever has heard nothing since may be the one who
     * is deaf.
     */
    final long heard;

    Duration said;
    int times = 1;
    boolean asked;

    /** Who wants to know, for a {@link AuditEventKind#RELAY}. */
    PeerAddress origin;

    long originNonce;

    Probe(Kind kind, long nonce, long target, PeerAddress address, Duration begun, long heard) {
        this.kind = kind;
        this.nonce = nonce;
        this.target = target;
        this.address = address;
        this.begun = begun;
        this.said = begun;
        this.heard = heard;
    }
}
