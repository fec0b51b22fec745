package ochretiller.net;

/** Why a connection was closed. Each closed connection leaves one log line with its code. */
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
    /** The client sent no complete request within the time that new connections have for it. */
    SILENT("SILENT"),
    /** The peer sent more unprocessed input than one connection may have. */
    FLOOD("FLOOD"),
    /** The peer does not read, and its output buffer is full. */
    NOT_READING("NOT_READING"),
    /** The connection limit is exceeded, and this connection was the least busy. */
    TOO_MANY("TOO_MANY"),
    /** A new configuration names another address for the peer. */
    MOVED("MOVED"),
    /** The call on the connection timed out or was cancelled. */
    GIVEN_UP("GIVEN_UP"),
    /** The request was answered, and the protocol allows one request a connection. */
    ANSWERED("ANSWERED"),
    /** This server shuts down. */
    LEAVING("LEAVING");

    private final String externalName;

    CloseCode(String externalName) {
        this.externalName = externalName;
    }

    /** The code in the log line, which does not follow the name of the constant. */
    public String externalName() {
        return externalName;
    }
}
