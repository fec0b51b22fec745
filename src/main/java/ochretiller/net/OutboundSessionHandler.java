package ochretiller.net;

import java.util.concurrent.Semaphore;
import java.util.function.Function;
import org.apache.mina.core.session.IoSession;

/**
 * Handles sessions that this server opened. Reading slows down while a peer sends faster than the
 * event loop can process; a peer that violates the protocol is disconnected at once.
 */
final class OutboundSessionHandler extends SessionHandler {
    /** Read buffers of all sessions that may be queued for the event loop: a few bursts. */
    private static final int MAX_QUEUED_BUFFERS = 256;

    private static final String KIND = "kind";

    private final Semaphore queueSlots = new Semaphore(MAX_QUEUED_BUFFERS);

    OutboundSessionHandler(Network network, Scheduler scheduler) {
        super(network, scheduler);
    }

    /**
     * Stores the parameters of a session that is being connected.
     *
     * @param kind the purpose of the connection, for log lines
     * @param handlerFactory creates the protocol handler when the session is connected
     */
    static void initialize(
            IoSession session,
            String kind,
            Function<Connection, ConnectionHandler> handlerFactory) {
        session.setAttribute(Function.class, handlerFactory);
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
    boolean isLingering() {
        return false;
    }

    /**
     * Blocks the I/O thread while the queue is full, so that TCP slows the peer down. MINA's
     * suspendRead and resumeRead, called on two threads, could undo each other's effect.
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

    /** Excludes closes after a completed run, which would fill the log; pool metrics count them. */
    @Override
    boolean isLogged(CloseCode code) {
        return code != CloseCode.ANSWERED;
    }
}
