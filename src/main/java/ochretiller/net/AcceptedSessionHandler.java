package ochretiller.net;

import java.util.function.Function;
import org.apache.mina.core.session.IoSession;

/**
 * Sessions that clients opened. A client that sends too much, or violates the protocol, is read no
 * further; what it sent before is processed and answered first.
 */
final class AcceptedSessionHandler extends SessionHandler {
    /**
     * Bytes of one connection that may wait for the event loop: as many requests of full length as
     * a connection may have open.
     */
    private static final int MAX_QUEUED_BYTES = 128 * 1024;

    /** The same limit while the queue takes much of the server's memory. */
    private static final int MAX_QUEUED_BYTES_UNDER_PRESSURE = 8 * 1024;

    private final String kind;
    private final Function<Connection, ConnectionHandler> handlers;

    AcceptedSessionHandler(
            Network network,
            Scheduler schedule,
            String kind,
            Function<Connection, ConnectionHandler> handlers) {
        super(network, schedule);
        this.kind = kind;
        this.handlers = handlers;
    }

    @Override
    String kind(IoSession session) {
        return kind;
    }

    @Override
    Function<Connection, ConnectionHandler> handlerFactory(IoSession session) {
        return handlers;
    }

    @Override
    boolean lingers() {
        return true;
    }

    /** The connection that has most in the queue is read no further, so others still are. */
    @Override
    boolean enqueue(int queuedBytes, long queuedBytesOfAll) {
        return queuedBytes <= MAX_QUEUED_BYTES
                && (queuedBytes <= MAX_QUEUED_BYTES_UNDER_PRESSURE
                        || !network.isQueueLong(queuedBytesOfAll));
    }

    @Override
    void dequeue() {
        // Nothing was acquired.
    }

    @Override
    void disconnect(Connection connection, ConnectionHandler handler, CloseCode code) {
        connection.deafen();
        schedule.post(
                () -> {
                    if (!handler.spoilt(code)) {
                        connection.drop(code);
                    }
                });
    }
}
