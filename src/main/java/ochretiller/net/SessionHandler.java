package ochretiller.net;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.text.BadInputException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Translates MINA's session events into calls of the {@link ConnectionHandler}: decoding on the I/O
 * thread, everything else on the event loop. The subclasses differ in how they treat a peer that
 * exceeds its input limit or violates the protocol.
 */
abstract class SessionHandler extends IoHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(Network.class.getName());

    /** The network that the sessions belong to. */
    final Network network;

    /** The event loop. */
    final Scheduler scheduler;

    SessionHandler(Network network, Scheduler scheduler) {
        this.network = network;
        this.scheduler = scheduler;
    }

    /** Returns the purpose of the connection, for log lines. */
    abstract String kind(IoSession session);

    /** Returns the factory of the protocol handler; called once for each new session. */
    abstract Function<Connection, ConnectionHandler> handlerFactory(IoSession session);

    /** Returns whether {@link Connection#close} waits until the peer has read its output. */
    abstract boolean isLingering();

    /**
     * Called before input is queued for the event loop; may block the I/O thread.
     *
     * @param queuedBytes queued bytes of this connection, including the new input
     * @param queuedBytesOfAll queued bytes of all connections, including the new input
     * @return false if the connection has exceeded its input limit
     */
    abstract boolean enqueue(int queuedBytes, long queuedBytesOfAll);

    /** Called on the event loop when input has been taken from the queue. */
    abstract void dequeue();

    /** Stops reading from a peer that violated the protocol or a limit, and disconnects. */
    abstract void disconnect(Connection connection, ConnectionHandler handler, CloseCode code);

    /** Returns whether a connection that was closed with this code is logged. */
    boolean isLogged(CloseCode code) {
        return true;
    }

    /** Logs that a connection was closed or could not be established. */
    static void logClosed(String kind, Object peer, CloseCode code) {
        LOG.info(() -> "connection " + kind + ' ' + peer + " ended: " + code.externalName());
    }

    private static Connection connection(IoSession session) {
        return (Connection) session.getAttribute(Connection.class);
    }

    private static ConnectionHandler handler(IoSession session) {
        return (ConnectionHandler) session.getAttribute(ConnectionHandler.class);
    }

    @Override
    public void sessionCreated(IoSession session) {
        Connection connection = new Connection(session, network, isLingering(), scheduler.now());
        session.setAttribute(Connection.class, connection);
        session.setAttribute(ConnectionHandler.class, handlerFactory(session).apply(connection));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        Connection connection = connection(session);
        if (!connection.isOpen() || connection.isReadingStopped()) {
            return;
        }
        IoBuffer buffer = (IoBuffer) message;
        int from = buffer.arrayOffset() + buffer.position();
        ConnectionHandler handler = handler(session);
        Runnable work;
        try {
            work = handler.decode(buffer.array(), from, from + buffer.remaining());
        } catch (BadInputException e) {
            logBadInput(kind(session), connection.peerAddress(), e);
            disconnect(connection, handler, CloseCode.BAD_INPUT);
            return;
        }
        updateIncompleteSince(connection, handler, work != null);
        if (work != null) {
            post(connection, handler, buffer.remaining(), work);
        }
    }

    private static void logBadInput(String kind, String peer, BadInputException fault) {
        LOG.info(() -> "bad input from " + kind + " " + peer + ": " + fault.getMessage());
    }

    /** The age of an incomplete message counts from the read that completed the one before. */
    private void updateIncompleteSince(
            Connection connection, ConnectionHandler handler, boolean hasCompletedMessage) {
        Optional<Duration> incompleteSince = connection.incompleteSince();
        if (!handler.hasPartialMessage()) {
            connection.incompleteSince(Optional.empty());
        } else if (incompleteSince.isEmpty() || hasCompletedMessage) {
            connection.incompleteSince(Optional.of(scheduler.now()));
        }
    }

    private void post(Connection connection, ConnectionHandler handler, int bytes, Runnable work) {
        int queuedBytes = connection.addQueuedBytes(bytes);
        boolean isWithinLimit = enqueue(queuedBytes, network.addQueuedBytes(bytes));
        scheduler.post(
                () -> {
                    dequeue();
                    connection.addQueuedBytes(-bytes);
                    network.addQueuedBytes(-bytes);
                    connection.markUsed(scheduler.now());
                    work.run();
                });
        if (!isWithinLimit) {
            disconnect(connection, handler, CloseCode.FLOOD);
        }
    }

    @Override
    public void inputClosed(IoSession session) {
        session.suspendRead(); // else the selector would report the end of input repeatedly
        connection(session).markInputEnded();
        ConnectionHandler handler = handler(session);
        scheduler.post(handler::onInputEnded);
    }

    @Override
    public void sessionClosed(IoSession session) {
        Connection connection = connection(session);
        ConnectionHandler handler = handler(session);
        connection.recordCloseCode(CloseCode.PEER_CLOSED);
        handler.onDescriptorReleased();
        scheduler.post(
                () -> {
                    CloseCode code = connection.closeCode().orElse(CloseCode.PEER_CLOSED);
                    handler.onClosed(code);
                    if (isLogged(code)) {
                        logClosed(kind(session), connection.peerAddress(), code);
                    }
                });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        Connection connection = connection(session);
        if (connection == null) {
            return; // the session failed before sessionCreated
        }
        if (!(cause instanceof IOException)) {
            LOG.log(Level.WARNING, "unexpected exception from " + connection.peerAddress(), cause);
        }
        connection.drop(CloseCode.BROKEN);
    }
}
