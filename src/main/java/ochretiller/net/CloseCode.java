package ochretiller.net;

/** Why a connection was closed. The log line of each closed connection contains the code. */
public enum CloseCode {
    /** The peer closed the connection. */
    PEER_CLOSED("PEER_CLOSED"),
    /** The peer reset the connection, or an I/O error ended it. */
    BROKEN("BROKEN"),
    /** The connection could not be established. */
    REFUSED("REFUSED"),
    /** Nothing was sent or received for the idle timeout. */
    IDLE("IDLE"),
    /** The peer violated the protocol. */
    BAD_INPUT("BAD_INPUT"),
    /** The client sent no complete request before the timeout for new connections. */
    SILENT("SILENT"),
    /** The unprocessed input of the connection exceeded its limit. */
    FLOOD("FLOOD"),
    /** The peer does not read, and its output buffer is full. */
    NOT_READING("NOT_READING"),
    /** The connection limit was exceeded, and this connection was chosen to be closed. */
    TOO_MANY("TOO_MANY"),
    /** A reloaded configuration has a different address for the peer. */
    MOVED("MOVED"),
    /** The call on the connection timed out or was cancelled. */
    GIVEN_UP("GIVEN_UP"),
    /** The request was answered, and the protocol allows one request per connection. */
    ANSWERED("ANSWERED"),
    /** This server is shutting down. */
    LEAVING("LEAVING");

    private final String externalName;

    CloseCode(String externalName) {
        this.externalName = externalName;
    }

    /** Returns the code in log lines, which stays the same if the constant is renamed. */
    public String externalName() {
        return externalName;
    }
}
