package ochretiller.net;

import java.util.function.Function;
import ochretiller.text.BadInputException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/**
 * Handles sessions that clients opened, whose input waits in a {@link ClientInput} until the event
 * loop decodes it. After a client exceeds a limit or violates the protocol, nothing more is read
 * from it; earlier input is processed and answered before the close.
 */
final class AcceptedSessionHandler extends SessionHandler {
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

    private static ClientInput input(IoSession session) {
        return (ClientInput) session.getAttribute(ClientInput.class);
    }

    @Override
    public void sessionCreated(IoSession session) {
        super.sessionCreated(session);
        session.setAttribute(
                ClientInput.class,
                new ClientInput(
                        session, connection(session), handler(session), this, network.heldInput()));
    }

    @Override
    void onInput(IoSession session, IoBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        input(session).add(bytes);
    }

    @Override
    void onInputEnded(IoSession session) {
        input(session).end();
    }

    /** Logs input that violates the protocol. */
    void onBadInput(IoSession session, BadInputException violation) {
        logBadInput(kind, connection(session).peerAddress(), violation);
    }

    /** Stops reading, and disconnects once the requests read before are answered. */
    void disconnect(Connection connection, ConnectionHandler handler, CloseCode code) {
        connection.stopReading();
        scheduler.post(
                () -> {
                    if (!handler.onProtocolViolation(code)) {
                        connection.drop(code);
                    }
                });
    }

    @Override
    void onReleased(IoSession session) {
        input(session).release();
        network.unreadOutput().remove(connection(session));
    }
}
