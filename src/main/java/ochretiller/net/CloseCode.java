package ochretiller.net;

/** Why a connection ended; each that ends leaves one line with its code. */
public enum CloseCode {
    /** The peer closed it. */
    PEER_CLOSED("PEER_CLOSED"),
    /** The peer reset it, or the network broke it. */
    BROKEN("BROKEN"),
    /** It was never made. */
    REFUSED("REFUSED"),
    /** It was silent for as long as connections are kept. */
    IDLE("IDLE"),
    /** The peer sent what does not follow its page. */
    BAD_INPUT("BAD_INPUT"),
    /** It has sent no whole request since it was made. */
    SILENT("SILENT"),
    /** The peer sends more than it may have open, faster than it is worked off. */
    FLOOD("FLOOD"),
    /** The peer does not read what it is sent. */
    NOT_READING("NOT_READING"),
    /** More connections are open than the limits allow, and this one is busy least. */
    TOO_MANY("TOO_MANY"),
    /** The configuration names another address. */
    MOVED("MOVED"),
    /** The call on it was given up. */
    GIVEN_UP("GIVEN_UP"),
    /** Its request was answered, and its protocol has one on a connection. */
    ANSWERED("ANSWERED"),
    /** This server leaves. */
    LEAVING("LEAVING");

    private final String externalName;

    CloseCode(String externalName) {
        this.externalName = externalName;
    }

    /** The code in the log line; it stays whatever the constant is called. */
    public String externalName() {
        return externalName;
    }
}
