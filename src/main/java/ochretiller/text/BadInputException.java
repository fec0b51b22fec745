package ochretiller.text;

/** What a peer sent does not follow its page. */
public final class BadInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadInputException(String message) {
        super(message, null, false, false); // thrown at a peer's will: no trace, which costs most
    }
}
