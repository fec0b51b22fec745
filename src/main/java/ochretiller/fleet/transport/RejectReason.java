package ochretiller.fleet.transport;

import java.util.Locale;

/** Why a packet was rejected. Each reason has a counter of its own. */
public enum RejectReason {
    /** It is shorter than an envelope, too long, or not as long as it states. */
    LENGTH("LENGTH"),
    /** It does not begin with the magic bytes. */
    NOT_OURS("NOT_OURS"),
    /** Only newer versions of the protocol can read it. */
    NEWER("NEWER"),
    /** It is not sealed with a key of this fleet. */
    FORGED("FORGED"),
    /** It names another fleet. */
    OTHER_FLEET("OTHER_FLEET"),
    /** It is authentic, but its content does not follow the protocol. */
    MALFORMED("MALFORMED"),
    /** It was received before, or is too old to tell. */
    REPLAYED("REPLAYED"),
    /** The kind of its message is unknown: a newer program has sent it. */
    KIND("KIND"),
    /** Its sender exceeds the rate that is allowed to one peer, or all of them together do. */
    OVER_BUDGET("OVER_BUDGET"),
    /** Too many packets wait for the event loop. */
    BEHIND("BEHIND");

    private final String externalName;

    RejectReason(String externalName) {
        this.externalName = externalName;
    }

    /**
     * Returns the name that log lines, metrics and JSON are made from; it is independent of the
     * constant's name.
     */
    public String externalName() {
        return externalName;
    }

    /** Returns the external name in lower case, as metrics and members of JSON have it. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }
}
