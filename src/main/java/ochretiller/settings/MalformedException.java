package ochretiller.settings;

/** Something that does not follow its page: a line of the wire, a setting, a configuration. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedException(String message) {
        super(message);
    }
}
