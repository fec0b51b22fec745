package ochretiller.fleet.transport;

/** A packet that is not taken. Without a trace: floods of them must cost little. */
public final class RejectedPacketException extends Exception {
    private static final long serialVersionUID = 1;
    private final RejectReason reason;

    RejectedPacketException(RejectReason why) {
        super(why.externalName(), null, false, false);
        this.reason = why;
    }

    RejectReason reason() {
        return reason;
    }
}
