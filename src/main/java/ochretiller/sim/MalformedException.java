package ochretiller.sim;

/** A line that does not follow the wire. */
final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
        super(message);
    }
}
