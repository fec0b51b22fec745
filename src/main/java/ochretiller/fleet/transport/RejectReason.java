package ochretiller.fleet.transport;

import java.util.Locale;

/** Reasons for rejecting a packet or frame. Rejected packets are counted by reason. */
public enum RejectReason {
    /** The packet is shorter than an envelope, too long, or differs from its stated length. */
    INVALID_LENGTH("LENGTH"),
    /** The packet does not start with the magic bytes. */
    WRONG_MAGIC("NOT_OURS"),
    /** The packet requires a newer protocol version. */
    UNSUPPORTED_VERSION("NEWER"),
    /** The packet is not sealed with a key of this fleet. */
    INVALID_SEAL("FORGED"),
    /** The packet names another fleet. */
    OTHER_FLEET("OTHER_FLEET"),
    /** The packet is authentic, but its content violates the protocol. */
    MALFORMED("MALFORMED"),
    /** The packet was received before, or is older than the replay window. */
    REPLAYED("REPLAYED"),
    /** The message kind is unknown, as in packets of a newer version. */
    UNKNOWN_KIND("KIND"),
    /** The source address exceeds its rate limit, or all addresses exceed the total limit. */
    RATE_LIMITED("OVER_BUDGET"),
    /** Too many packets are queued for the event loop. */
    QUEUE_FULL("BEHIND");

    private final String externalName;

    RejectReason(String externalName) {
        this.externalName = externalName;
    }

    /**
     * Returns the name used in log lines, metrics and JSON. It does not depend on the constant's
     * name.
     */
    public String externalName() {
        return externalName;
    }

    /** Returns the external name in lower case, as used in metric names and JSON members. */
    public String lowerCaseName() {
        return externalName.toLowerCase(Locale.ROOT);
    }
}
