package ochretiller.net;

/** One connection's side of a stage. */
public interface Receiver {
    /** On the network's thread: decodes what was read, and returns what is to be done about it, or null. */
    Runnable received(byte[] bytes, int from, int to);

    /** On the one thread: the peer sends no more, but may still read. */
    void inputEnded();

    /** On the one thread: the connection has ended. */
    void ended(CloseCode code);
}
