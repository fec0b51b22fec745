package ochretiller.fleet.peers;

/** A packet that is not taken. Without a trace: floods of them must cost little. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;
    private final Refused why;

    RefusedException(Refused why) {
        super(why.externalName(), null, false, false);
        this.why = why;
    }

    Refused why() {
        return why;
    }
}
