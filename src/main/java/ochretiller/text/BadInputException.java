package ochretiller.text;

/** Reports that input from a peer violates the protocol. */
public final class BadInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a stack trace: peers can trigger it at will, and the trace is
     * the main cost.
     *
     * @param message describes the violation, for log lines
     */
    public BadInputException(String message) {
        super(message, null, false, false);
    }
}
