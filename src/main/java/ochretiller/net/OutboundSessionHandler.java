package ochretiller.net;

import java.util.concurrent.Semaphore;
import java.util.function.Function;
import ochretiller.text.BadInputException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/**
 * Handles sessions that this server opened. Reading slows down while a peer sends faster than the
 * event loop can process; a peer that violates the protocol is disconnected at once.
 */
final class OutboundSessionHandler extends SessionHandler {
    /** Memory of parsed messages, as a multiple of the bytes that were read. */
    private static final int PARSED_SIZE_FACTOR = 10;

    private static final String KIND = "kind";

    private final int maxQueuedBytes;

    /** Bytes that may be read and queued for the event loop, over all sessions. */
    private final Semaphore queueCapacity;

    OutboundSessionHandler(Network network, Scheduler scheduler) {
        super(network, scheduler);
        maxQueuedBytes = (int) (network.parsedOutboundInputBytes() / PARSED_SIZE_FACTOR);
        queueCapacity = new Semaphore(maxQueuedBytes);
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

    @Override
    void onInput(IoSession session, IoBuffer buffer) {
        Connection connection = connection(session);
        int from = buffer.arrayOffset() + buffer.position();
        Runnable work;
        try {
            work = handler(session).decode(buffer.array(), from, from + buffer.remaining());
        } catch (BadInputException e) {
            logBadInput(kind(session), connection.peerAddress(), e);
            connection.drop(CloseCode.BAD_INPUT);
            return;
        }
        if (work != null) {
            post(connection, buffer.remaining(), work);
        }
    }

    /**
     * Blocks the I/O thread while the queue is full, so that TCP slows the peer down. MINA's
     * suspendRead and resumeRead, called on two threads, could undo each other's effect.
     */
    private void post(Connection connection, int readBytes, Runnable work) {
        int queuedBytes = Math.min(readBytes, maxQueuedBytes);
        queueCapacity.acquireUninterruptibly(queuedBytes);
        scheduler.post(
                () -> {
                    queueCapacity.release(queuedBytes);
                    connection.markUsed(scheduler.now());
                    work.run();
                });
    }

    @Override
    void onInputEnded(IoSession session) {
        session.suspendRead(); // else the selector would report the end of input repeatedly
        scheduler.post(handler(session)::onInputEnded);
    }

    /** Excludes closes after a completed run, which would fill the log; pool metrics count them. */
    @Override
    boolean isLogged(CloseCode code) {
        return code != CloseCode.ANSWERED;
    }
}
