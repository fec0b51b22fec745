package ochretiller.fleet.transport;

/**
 * A packet or frame cannot be used. It has no stack trace, so that a flood of them costs little.
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
