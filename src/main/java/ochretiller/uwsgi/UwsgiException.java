package ochretiller.uwsgi;

/** What a peer sent does not follow the protocol. */
public final class UwsgiException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * What to say where an answer can still be given, in HTTP's terms; 0 where none is owed and the
     * connection ends.
     */
    public final int status;

    UwsgiException(int status, String message) {
        super(message, null, false, false); // thrown at a peer's will: no trace, which costs most
        this.status = status;
    }
}
