package ochretiller.fleet.transport;

import java.util.Locale;

/** Why a packet was not taken; each has a figure of its own. */
public enum RejectReason {
    /** Shorter than an envelope, longer than is read, or not as long as it says. */
    LENGTH("LENGTH"),
    /** It does not begin as an envelope does. */
    NOT_OURS("NOT_OURS"),
    /** Only newer programs can read it. */
    NEWER("NEWER"),
    /** Its seal is not made with a key of this fleet. */
    FORGED("FORGED"),
    /** It names another fleet. */
    OTHER_FLEET("OTHER_FLEET"),
    /** Its seal is good and its content is not. */
    MALFORMED("MALFORMED"),
    /** It was taken before, or is too far behind what was. */
    REPLAYED("REPLAYED"),
    /** Its kind is not known here: a newer program's. */
    KIND("KIND"),
    /** Its sender sends more than one peer may. */
    OVER_BUDGET("OVER_BUDGET"),
    /** The one thread has too much to work off. */
    BEHIND("BEHIND");

    private final String externalName;

    RejectReason(String externalName) {
        this.externalName = externalName;
    }

    /**
     * The word by which metrics, JSON and log lines name it; it stays whatever the constant is
     * called.
     */
    public String externalName() {
        return externalName;
    }

    /** The same in lower case, as names of metrics and members of JSON have it. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }
}
