package ochretiller.uwsgi;

/** A peer violated the uwsgi protocol, or sent a request that cannot be served. */
public final class UwsgiException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The HTTP status to answer; 0 where no answer is possible and the connection ends. */
    public final int status;

    /** Made without a stack trace: peers can cause these at will, and the trace costs most. */
    UwsgiException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
