package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.frontend.ClientConnection;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.net.Connection;
import ochretiller.text.BadInputException;
import ochretiller.text.Frames;

/** One connection of a gateway: cuts its input into messages and writes the answers. */
final class JsonRpcConnection extends ClientConnection {
    private static final int LONGEST_LINE = 8 * 1024;

    private final JsonRpcFrontend frontend;
    private final Frames frames = new Frames(LONGEST_LINE, false, line -> Frames.NONE);
    private boolean hasSentBadInput;

    JsonRpcConnection(Connection connection, ClientConnections callers, JsonRpcFrontend frontend) {
        super(connection, callers);
        this.frontend = frontend;
    }

    /** Messages that were complete before a violation are still processed. */
    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        List<JsonRpcMessage> messages = new ArrayList<>(1);
        Optional<BadInputException> violation = Optional.empty();
        try {
            frames.read(bytes, from, to, (line, body) -> messages.add(JsonRpcCodec.read(line)));
        } catch (BadInputException e) {
            if (messages.isEmpty()) {
                throw e;
            }
            violation = Optional.of(e);
            connection.deafen();
        }
        return messages.isEmpty() ? null : processing(messages, violation);
    }

    private Runnable processing(
            List<JsonRpcMessage> messages, Optional<BadInputException> violation) {
        return () -> {
            messages.forEach(message -> frontend.read(this, message));
            violation.ifPresent(fault -> frontend.unreadable(this, fault));
        };
    }

    @Override
    public boolean within() {
        return frames.within();
    }

    boolean isOpen() {
        return connection.open() && !unreadable();
    }

    /** The peer's address, for log lines. */
    String name() {
        return connection.peer();
    }

    void write(String text) {
        connection.write(text);
    }

    /** Notes bad input; true for the first of this connection. */
    boolean isFirstBadInput() {
        boolean first = !hasSentBadInput;
        hasSentBadInput = true;
        return first;
    }

    @Override
    protected void succeeds(RequestAttempt inv, byte[] result, boolean replayed) {
        write(JsonRpcCodec.result(inv.number, result, frontend.hint()));
    }

    @Override
    protected void throttles(RequestAttempt inv, Duration retryIn, boolean last) {
        write(JsonRpcCodec.throttled(inv.number, retryIn, last, frontend.hint()));
    }

    @Override
    protected void fails(RequestAttempt inv, FailureReason why) {
        write(JsonRpcCodec.failed(inv.number, why.text, frontend.hint()));
    }

    @Override
    protected boolean leaves() {
        write(JsonRpcCodec.SHUTDOWN);
        return true;
    }
}
