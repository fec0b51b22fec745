package ochretiller.fleet.members;

/**
 * What happened to the view, for the operators and for parts that ask it.
 *
 * @param before what was thought of it, or null where it was not known
 */
public record Change(Kind kind, Member member, State before) {
    /** Kinds of it. */
    public enum Kind {
        /** A member is seen in another state. */
        STATE,
        /** Another process that is alive bears this server's name. */
        TWIN,
        /** This server was suspected and has said that it is there. */
        REFUTED,
        /** This server has got its first view, or serves alone. */
        JOINED,
        /** A member is no longer remembered. */
        FORGOTTEN
    }
}
