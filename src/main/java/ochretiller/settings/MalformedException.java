package ochretiller.settings;

/** Thrown for malformed input: a line of the simulator protocol, a setting, a configuration. */
public final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the malformed input and its value. */
    public MalformedException(String message) {
        super(message);
    }

    /** Creates an exception that was caused by a parser's error. */
    public MalformedException(String message, Throwable cause) {
        super(message, cause);
    }
}
