package ochretiller.net;

import java.io.IOException;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.text.BadInputException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Translates MINA's session events into calls of the {@link ConnectionHandler}. The subclasses
 * differ in how the input reaches the event loop, where everything else runs, and in how they treat
 * a peer that exceeds a limit or violates the protocol.
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

    /** Passes on a read of input. Called on the I/O thread; may block it. */
    abstract void onInput(IoSession session, IoBuffer buffer);

    /** Passes on the end of the input. Called on the I/O thread. */
    abstract void onInputEnded(IoSession session);

    /** Called on the event loop when a connection has been closed. */
    void onReleased(IoSession session) {
        // Needed only where input or output is accounted for.
    }

    /** Returns whether a connection that was closed with this code is logged. */
    boolean isLogged(CloseCode code) {
        return true;
    }

    /** Logs that a connection was closed or could not be established. */
    static void logClosed(String kind, Object peer, CloseCode code) {
        LOG.info(() -> "connection " + kind + ' ' + peer + " ended: " + code.externalName());
    }

    static Connection connection(IoSession session) {
        return (Connection) session.getAttribute(Connection.class);
    }

    static ConnectionHandler handler(IoSession session) {
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
        onInput(session, (IoBuffer) message);
    }

    /** Logs input that violates the protocol. */
    static void logBadInput(String kind, String peer, BadInputException fault) {
        LOG.info(() -> "bad input from " + kind + " " + peer + ": " + fault.getMessage());
    }

    @Override
    public void inputClosed(IoSession session) {
        onInputEnded(session);
        connection(session).markInputEnded();
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
                    onReleased(session);
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
