package ochretiller.net;

import java.util.concurrent.Semaphore;
import java.util.function.Function;
import org.apache.mina.core.session.IoSession;

/**
 * Sessions that this server opened. A peer that sends faster than the event loop works is read more
 * slowly; one that violates the protocol is disconnected at once.
 */
final class OutboundSessionHandler extends SessionHandler {
    /** Read buffers of all sessions that may wait for the event loop: a few bursts. */
    private static final int MAX_QUEUED_BUFFERS = 256;

    private static final String KIND = "kind";

    private final Semaphore queueSlots = new Semaphore(MAX_QUEUED_BUFFERS);

    OutboundSessionHandler(Network network, Scheduler schedule) {
        super(network, schedule);
    }

    /**
     * Prepares a session that is being connected.
     *
     * @param kind what it is for, in log lines
     * @param handlers makes its protocol handler once it is connected
     */
    static void initialize(
            IoSession session, String kind, Function<Connection, ConnectionHandler> handlers) {
        session.setAttribute(Function.class, handlers);
        session.setAttribute(KIND, kind);
    }

    @Override
    String kind(IoSession session) {
        return (String) session.getAttribute(KIND);
    }

    @Override
    @SuppressWarnings("unchecked") // set in initialize only
    Function<Connection, ConnectionHandler> handlerFactory(IoSession session) {
        return (Function<Connection, ConnectionHandler>) session.removeAttribute(Function.class);
    }

    @Override
    boolean lingers() {
        return false;
    }

    /**
     * Blocks the I/O thread while the queue is full, so the peer's socket fills. MINA's suspendRead
     * and resumeRead, called by two threads, can undo each other's change.
     */
    @Override
    boolean enqueue(int queuedBytes, long queuedBytesOfAll) {
        queueSlots.acquireUninterruptibly();
        return true;
    }

    @Override
    void dequeue() {
        queueSlots.release();
    }

    @Override
    void disconnect(Connection connection, ConnectionHandler handler, CloseCode code) {
        connection.drop(code);
    }

    /** A connection for each run would fill the log; the pools' metrics count those. */
    @Override
    boolean isLogged(CloseCode code) {
        return code != CloseCode.ANSWERED;
    }
}
