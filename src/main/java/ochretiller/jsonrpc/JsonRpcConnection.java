package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.frontend.ClientConnection;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.net.Connection;
import ochretiller.text.BadInputException;
import ochretiller.text.Frames;

/** One connection of a gateway. */
final class JsonRpcConnection extends ClientConnection {
    private static final int LONGEST_LINE = 8 * 1024;

    /** It sent something wrong before. */
    boolean faulty;

    private final JsonRpcFrontend gateway;
    private final Frames frames = new Frames(LONGEST_LINE, false, line -> Frames.NONE);

    JsonRpcConnection(Connection connection, ClientConnections callers, JsonRpcFrontend gateway) {
        super(connection, callers);
        this.gateway = gateway;
    }

    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        List<JsonRpcCodec.Message> messages = new ArrayList<>(1);
        BadInputException fault = null;
        try {
            frames.read(bytes, from, to, (line, body) -> messages.add(JsonRpcCodec.read(line)));
        } catch (BadInputException e) {
            if (messages.isEmpty()) {
                throw e;
            }
            fault = e; // guards against good requests that are lost with what follows them
            connection.deafen();
        }
        BadInputException last = fault;
        return messages.isEmpty()
                ? null
                : () -> {
                    messages.forEach(message -> gateway.read(this, message));
                    if (last != null) {
                        gateway.unreadable(this, last);
                    }
                };
    }

    @Override
    public boolean within() {
        return frames.within();
    }

    boolean isOpen() {
        return connection.open() && !unreadable();
    }

    String name() {
        return connection.peer();
    }

    void write(String text) {
        connection.write(text);
    }

    @Override
    protected void succeeds(RequestAttempt inv, byte[] result, boolean replayed) {
        write(JsonRpcCodec.result(inv.number, result, gateway.hint()));
    }

    @Override
    protected void throttles(RequestAttempt inv, Duration retryIn, boolean last) {
        write(JsonRpcCodec.throttled(inv.number, retryIn, last, gateway.hint()));
    }

    @Override
    protected void fails(RequestAttempt inv, FailureReason why) {
        write(JsonRpcCodec.failed(inv.number, why.text, gateway.hint()));
    }

    @Override
    protected boolean leaves() {
        write(JsonRpcCodec.SHUTDOWN);
        return true;
    }
}
