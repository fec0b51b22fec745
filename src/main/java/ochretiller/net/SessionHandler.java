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
 * Turns MINA's events of a session into calls of its {@link ConnectionHandler}: decoding on the I/O
 * thread, everything else on the event loop. The subclasses differ in how they treat a peer that
 * sends too much or violates the protocol.
 */
abstract class SessionHandler extends IoHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(Network.class.getName());

    /** The network that the sessions belong to. */
    final Network network;

    /** The event loop. */
    final Scheduler schedule;

    SessionHandler(Network network, Scheduler schedule) {
        this.network = network;
        this.schedule = schedule;
    }

    /** What the connection is for, in log lines. */
    abstract String kind(IoSession session);

    /** Makes the protocol handler of a new session; called once for each session. */
    abstract Function<Connection, ConnectionHandler> handlerFactory(IoSession session);

    /** Whether a close waits for a slow peer, as {@link Connection} says. */
    abstract boolean lingers();

    /**
     * Takes input into the queue for the event loop; may block the I/O thread.
     *
     * @param queuedBytes bytes of this connection in the queue, with these
     * @param queuedBytesOfAll bytes of all connections in the queue, with these
     * @return whether the connection may go on sending
     */
    abstract boolean enqueue(int queuedBytes, long queuedBytesOfAll);

    /** Input has left the queue. Called on the event loop. */
    abstract void dequeue();

    /** Stops reading from a peer that broke a rule, and has the connection closed. */
    abstract void disconnect(Connection connection, ConnectionHandler handler, CloseCode code);

    /** Whether the end of a connection is logged. */
    boolean isLogged(CloseCode code) {
        return true;
    }

    /** The one log line of a connection that has ended or could not be established. */
    static void logEnd(String kind, Object peer, CloseCode code) {
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
        Connection connection = new Connection(session, network, lingers(), schedule.now());
        session.setAttribute(Connection.class, connection);
        session.setAttribute(ConnectionHandler.class, handlerFactory(session).apply(connection));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        Connection connection = connection(session);
        if (!connection.open() || connection.deaf()) {
            return;
        }
        IoBuffer buffer = (IoBuffer) message;
        int from = buffer.arrayOffset() + buffer.position();
        ConnectionHandler handler = handler(session);
        Runnable work;
        try {
            work = handler.received(buffer.array(), from, from + buffer.remaining());
        } catch (BadInputException e) {
            logBadInput(kind(session), connection.peer(), e);
            disconnect(connection, handler, CloseCode.BAD_INPUT);
            return;
        }
        notePartialMessage(connection, handler, work != null);
        if (work != null) {
            post(connection, handler, buffer.remaining(), work);
        }
    }

    private static void logBadInput(String kind, String peer, BadInputException fault) {
        LOG.info(() -> "bad input from " + kind + " " + peer + ": " + fault.getMessage());
    }

    /** A message that began behind a complete one is as old as that one's last byte. */
    private void notePartialMessage(
            Connection connection, ConnectionHandler handler, boolean completed) {
        Optional<Duration> since = connection.within();
        if (!handler.within()) {
            connection.within(Optional.empty());
        } else if (since.isEmpty() || completed) {
            connection.within(Optional.of(schedule.now()));
        }
    }

    private void post(Connection connection, ConnectionHandler handler, int bytes, Runnable work) {
        int queuedBytes = connection.queued(bytes);
        boolean mayGoOn = enqueue(queuedBytes, network.countQueued(bytes));
        schedule.post(
                () -> {
                    dequeue();
                    connection.queued(-bytes);
                    network.countQueued(-bytes);
                    connection.used(schedule.now());
                    work.run();
                });
        if (!mayGoOn) {
            disconnect(connection, handler, CloseCode.FLOOD);
        }
    }

    @Override
    public void inputClosed(IoSession session) {
        session.suspendRead(); // the selector would report the end of input again and again
        connection(session).inputEnds();
        ConnectionHandler handler = handler(session);
        schedule.post(handler::inputEnded);
    }

    @Override
    public void sessionClosed(IoSession session) {
        Connection connection = connection(session);
        ConnectionHandler handler = handler(session);
        connection.reason(CloseCode.PEER_CLOSED);
        handler.closed();
        schedule.post(
                () -> {
                    CloseCode code = connection.code().orElse(CloseCode.PEER_CLOSED);
                    handler.ended(code);
                    if (isLogged(code)) {
                        logEnd(kind(session), connection.peer(), code);
                    }
                });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        Connection connection = connection(session);
        if (connection == null) {
            return; // the session failed before it was set up
        }
        if (!(cause instanceof IOException)) {
            LOG.log(Level.WARNING, "fault at " + connection.peer(), cause);
        }
        connection.drop(CloseCode.BROKEN);
    }
}
