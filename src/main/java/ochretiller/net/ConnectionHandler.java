package ochretiller.net;

/**
 * The protocol side of one {@link Connection}: decodes what was read and reacts to its end. Each
 * method names the thread that calls it.
 */
public interface ConnectionHandler {
    /**
     * Decodes bytes as they were read. Called on the I/O thread.
     *
     * @param bytes the read buffer, which is reused after the call
     * @param from index of the first byte read
     * @param to index after the last byte read
     * @return work for the event loop, or null where no message is complete
     * @throws ochretiller.text.BadInputException where the bytes violate the protocol
     */
    Runnable received(byte[] bytes, int from, int to);

    /** Whether a message has begun and is not complete. Called on the I/O thread. */
    default boolean within() {
        return false;
    }

    /**
     * The peer violated the protocol or its limits, and nothing more is read from it. Called on the
     * event loop, after the work that was decoded before.
     *
     * @param code why the connection is to be closed
     * @return whether this handler closes the connection itself once it has sent what it owes;
     *     otherwise the network closes it at once
     */
    default boolean spoilt(CloseCode code) {
        return false;
    }

    /** The peer has shut down its output but may still read. Called on the event loop. */
    void inputEnded();

    /** The connection's file descriptor has been released. Called on the I/O thread. */
    default void closed() {
        // Only handlers that count connections need this.
    }

    /**
     * The connection has ended; the last call. Called on the event loop.
     *
     * @param code why it ended
     */
    void ended(CloseCode code);
}
