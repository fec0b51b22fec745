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
import ochretiller.text.FrameDecoder;

/** One gateway connection: splits its input into messages and writes the responses. */
final class JsonRpcConnection extends ClientConnection {
    private static final int MAX_LINE_BYTES = 8 * 1024;

    private final JsonRpcFrontend frontend;
    private final FrameDecoder decoder =
            new FrameDecoder(MAX_LINE_BYTES, false, line -> FrameDecoder.NO_BODY);
    private boolean hasSentBadInput;

    JsonRpcConnection(
            Connection connection, ClientConnections clientConnections, JsonRpcFrontend frontend) {
        super(connection, clientConnections);
        this.frontend = frontend;
    }

    /** Messages that precede a protocol violation are still processed. */
    @Override
    public Runnable decode(byte[] bytes, int from, int to) {
        List<JsonRpcMessage> messages = new ArrayList<>(1);
        Optional<BadInputException> violation = Optional.empty();
        try {
            decoder.decode(bytes, from, to, (line, body) -> messages.add(JsonRpcCodec.parse(line)));
        } catch (BadInputException e) {
            if (messages.isEmpty()) {
                throw e;
            }
            violation = Optional.of(e);
            connection.stopReading();
        }
        return messages.isEmpty() ? null : processingTask(messages, violation);
    }

    private Runnable processingTask(
            List<JsonRpcMessage> messages, Optional<BadInputException> violation) {
        return () -> {
            messages.forEach(message -> frontend.handle(this, message));
            violation.ifPresent(exception -> frontend.onUnparsableInput(this, exception));
        };
    }

    @Override
    public boolean hasPartialMessage() {
        return decoder.hasPartialMessage();
    }

    @Override
    public long heldInputBytes() {
        return decoder.heldBytes();
    }

    @Override
    public void discardInput() {
        decoder.discard();
    }

    boolean isOpen() {
        return connection.isOpen() && !hasViolatedProtocol();
    }

    /** Returns the peer's address, for log lines. */
    String peerAddress() {
        return connection.peerAddress();
    }

    void write(String text) {
        connection.write(text);
    }

    /** Records bad input and returns whether it is the first on this connection. */
    boolean recordFirstBadInput() {
        boolean first = !hasSentBadInput;
        hasSentBadInput = true;
        return first;
    }

    @Override
    protected void writeResult(RequestAttempt attempt, byte[] result, boolean replayed) {
        write(JsonRpcCodec.result(attempt.number, result, frontend.advertisedCapacity()));
    }

    @Override
    protected void writeThrottled(RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
        write(
                JsonRpcCodec.throttledResponse(
                        attempt.number, retryAfter, isFinal, frontend.advertisedCapacity()));
    }

    @Override
    protected void writeError(RequestAttempt attempt, FailureReason reason) {
        write(
                JsonRpcCodec.failureResponse(
                        attempt.number, reason.wireMessage, frontend.advertisedCapacity()));
    }

    @Override
    protected boolean writeShutdown() {
        write(JsonRpcCodec.SHUTDOWN);
        return true;
    }
}
