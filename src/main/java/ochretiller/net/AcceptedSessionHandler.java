package ochretiller.net;

import java.util.function.Function;
import org.apache.mina.core.session.IoSession;

/**
 * Handles sessions that clients opened. After a client exceeds its input limit or violates the
 * protocol, nothing more is read from it; earlier input is processed and answered before the close.
 */
final class AcceptedSessionHandler extends SessionHandler {
    /**
     * Input bytes of one connection that may be queued for the event loop: as many requests of
     * maximum length as a connection may have open.
     */
    private static final int MAX_QUEUED_BYTES = 128 * 1024;

    /** The same limit while the queue of all connections exceeds its share of the memory. */
    private static final int MAX_QUEUED_BYTES_UNDER_PRESSURE = 8 * 1024;

    private final String kind;
    private final Function<Connection, ConnectionHandler> handlerFactory;

    AcceptedSessionHandler(
            Network network,
            Scheduler scheduler,
            String kind,
            Function<Connection, ConnectionHandler> handlerFactory) {
        super(network, scheduler);
        this.kind = kind;
        this.handlerFactory = handlerFactory;
    }

    @Override
    String kind(IoSession session) {
        return kind;
    }

    @Override
    Function<Connection, ConnectionHandler> handlerFactory(IoSession session) {
        return handlerFactory;
    }

    @Override
    boolean isLingering() {
        return true;
    }

    /** Under memory pressure, stops reading those with much queued input; others are still read. */
    @Override
    boolean enqueue(int queuedBytes, long queuedBytesOfAll) {
        return queuedBytes <= MAX_QUEUED_BYTES
                && (queuedBytes <= MAX_QUEUED_BYTES_UNDER_PRESSURE
                        || !network.isQueuedInputHigh(queuedBytesOfAll));
    }

    @Override
    void dequeue() {
        // enqueue acquires nothing that would have to be released.
    }

    @Override
    void disconnect(Connection connection, ConnectionHandler handler, CloseCode code) {
        connection.stopReading();
        scheduler.post(
                () -> {
                    if (!handler.onProtocolViolation(code)) {
                        connection.drop(code);
                    }
                });
    }
}
