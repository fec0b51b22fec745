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

/** One gateway connection: splits its input into messages and writes the responses. */
final class JsonRpcConnection extends ClientConnection {
    private static final int MAX_LINE_BYTES = 8 * 1024;

    private final JsonRpcFrontend frontend;
    private final Frames decoder = new Frames(MAX_LINE_BYTES, false, line -> Frames.NONE);
    private boolean hasSentBadInput;

    JsonRpcConnection(
            Connection connection, ClientConnections clientConnections, JsonRpcFrontend frontend) {
        super(connection, clientConnections);
        this.frontend = frontend;
    }

    /** Messages that precede a protocol violation are still processed. */
    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        List<JsonRpcMessage> messages = new ArrayList<>(1);
        Optional<BadInputException> violation = Optional.empty();
        try {
            decoder.read(bytes, from, to, (line, body) -> messages.add(JsonRpcCodec.read(line)));
        } catch (BadInputException e) {
            if (messages.isEmpty()) {
                throw e;
            }
            violation = Optional.of(e);
            connection.deafen();
        }
        return messages.isEmpty() ? null : processingTask(messages, violation);
    }

    private Runnable processingTask(
            List<JsonRpcMessage> messages, Optional<BadInputException> violation) {
        return () -> {
            messages.forEach(message -> frontend.read(this, message));
            violation.ifPresent(exception -> frontend.unreadable(this, exception));
        };
    }

    @Override
    public boolean within() {
        return decoder.within();
    }

    boolean isOpen() {
        return connection.open() && !unreadable();
    }

    /** Returns the peer's address, for log lines. */
    String name() {
        return connection.peer();
    }

    void write(String text) {
        connection.write(text);
    }

    /** Records bad input and returns whether it is the first on this connection. */
    boolean isFirstBadInput() {
        boolean first = !hasSentBadInput;
        hasSentBadInput = true;
        return first;
    }

    @Override
    protected void succeeds(RequestAttempt attempt, byte[] result, boolean replayed) {
        write(JsonRpcCodec.result(attempt.number, result, frontend.hint()));
    }

    @Override
    protected void throttles(RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
        write(JsonRpcCodec.throttled(attempt.number, retryAfter, isFinal, frontend.hint()));
    }

    @Override
    protected void fails(RequestAttempt attempt, FailureReason reason) {
        write(JsonRpcCodec.failed(attempt.number, reason.text, frontend.hint()));
    }

    @Override
    protected boolean leaves() {
        write(JsonRpcCodec.SHUTDOWN);
        return true;
    }
}
