package ochretiller.settings;

/** Thrown for input of the wrong form: a line of the wire, a setting, a configuration. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names what is malformed and its value. */
    public MalformedException(String message) {
        super(message);
    }

    /** Creates an exception with the error that parsing ended in. */
    public MalformedException(String message, Throwable cause) {
        super(message, cause);
    }
}
