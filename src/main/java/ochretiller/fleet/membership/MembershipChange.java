package ochretiller.fleet.membership;

/**
 * What happened to the view, for the operators and for parts that ask it.
 *
 * @param previousState what was thought of it, or null where it was not known
 */
public record MembershipChange(Kind kind, Member member, MemberState previousState) {
    /** Kinds of it. */
    public enum Kind {
        /** A member is seen in another state. */
        STATE_CHANGED,
        /** Another process that is alive bears this server's name. */
        DUPLICATE_NAME,
        /** This server was suspected and has said that it is there. */
        SUSPICION_REFUTED,
        /** This server has got its first view, or serves alone. */
        JOINED,
        /** A member is no longer remembered. */
        FORGOTTEN
    }
}
