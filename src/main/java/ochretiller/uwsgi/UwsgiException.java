package ochretiller.uwsgi;

/** Thrown if a peer violates the uwsgi protocol or sends a request that cannot be served. */
public final class UwsgiException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The HTTP status of the answer, or 0 if the connection is closed without one. */
    public final int status;

    /** Omits the stack trace, which costs the most: peers can cause any number of exceptions. */
    UwsgiException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
