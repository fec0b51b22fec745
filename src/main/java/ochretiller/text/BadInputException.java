package ochretiller.text;

/** A peer sent something that violates its protocol. */
public final class BadInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Made without a stack trace: peers can cause these at will, and the trace costs most.
     *
     * @param message what is wrong, for a log line
     */
    public BadInputException(String message) {
        super(message, null, false, false);
    }
}
