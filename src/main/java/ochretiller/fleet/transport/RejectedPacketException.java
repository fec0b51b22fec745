package ochretiller.fleet.transport;

/**
 * Thrown for a packet or frame that cannot be used. It has no stack trace, so that a flood of
 * invalid packets costs little.
 */
public final class RejectedPacketException extends Exception {
    private static final long serialVersionUID = 1;

    private final RejectReason reason;

    RejectedPacketException(RejectReason reason) {
        super(reason.externalName(), null, false, false);
        this.reason = reason;
    }

    RejectReason reason() {
        return reason;
    }
}
