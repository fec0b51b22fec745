package ochretiller.net;

/**
 * Protocol handler of one {@link Connection}: decodes the input and reacts to the end of the
 * connection. Each method documents the thread that calls it.
 */
public interface ConnectionHandler {
    /**
     * Decodes some input. Called on the event loop for a client connection, else on the I/O thread.
     *
     * @param bytes the read buffer, which is reused after the call
     * @param from index of the first byte read
     * @param to index after the last byte read
     * @return work for the event loop, or null if no message is complete
     * @throws ochretiller.text.BadInputException if the bytes violate the protocol
     */
    Runnable decode(byte[] bytes, int from, int to);

    /** Returns whether a message is partially received. Called on the thread that decodes. */
    default boolean hasPartialMessage() {
        return false;
    }

    /**
     * Returns the memory, in bytes, that a client connection holds for input which is no request
     * yet. Called on the event loop.
     */
    default long heldInputBytes() {
        return 0;
    }

    /** Discards the input of {@link #heldInputBytes}, after which nothing more is decoded. */
    default void discardInput() {
        // Needed only by handlers of client connections.
    }

    /**
     * Returns whether a client's request was accepted since the last call, which does not count as
     * a flood. Called on the event loop.
     */
    default boolean takeAcceptedRequest() {
        return false;
    }

    /**
     * Called when the peer has violated the protocol or a limit, and is no longer read from. Called
     * on the event loop, after the work that was decoded before the violation.
     *
     * @param code the reason for closing the connection
     * @return true if this handler closes the connection itself after it has sent all pending
     *     responses; false if the network is to close it at once
     */
    default boolean onProtocolViolation(CloseCode code) {
        return false;
    }

    /** Called on the event loop when the peer has shut down its output; it may still read. */
    void onInputEnded();

    /** Called on the I/O thread when the file descriptor of the connection is released. */
    default void onDescriptorReleased() {
        // Needed only by handlers that count connections.
    }

    /**
     * Called on the event loop when the connection is closed; always the last call.
     *
     * @param code why the connection was closed
     */
    void onClosed(CloseCode code);
}
