package ochretiller.net;

/** One connection's side of a stage. */
public interface ConnectionHandler {
    /**
     * On the network's thread: decodes what was read, and returns what is to be done about it, or
     * null.
     */
    Runnable received(byte[] bytes, int from, int to);

    /** On the network's thread: a message has begun and is not whole yet. */
    default boolean within() {
        return false;
    }

    /**
     * On the one thread: the peer has sent what cannot be read, or more than it may, and nothing
     * that follows is read. False where nothing is owed to it, and the network ends it at once.
     */
    default boolean spoilt(CloseCode code) {
        return false;
    }

    /** On the one thread: the peer sends no more, but may still read. */
    void inputEnded();

    /** On the network's thread: the connection's descriptor is free. */
    default void closed() {
        // most count none
    }

    /** On the one thread: the connection has ended. */
    void ended(CloseCode code);
}
