package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import ochretiller.frontend.ClientConnection;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;

/**
 * One connection of a web server. By the protocol it carries one request; further ones on the same
 * connection are answered in order, since an answer does not name its request.
 */
final class UwsgiConnection extends ClientConnection {
    /** Requests that may wait for the answer of an earlier one. */
    private static final int MOST_WAITING = 32;

    private final UwsgiFrontend front;
    private final UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(UwsgiFrontend.LONGEST_BODY);
    private final Queue<Input> waiting = new ArrayDeque<>();

    /** Whether the input was malformed, so that nothing more is decoded. I/O thread only. */
    private boolean lost;

    private long numbers;
    private boolean answered;

    /** What was decoded: a request, or what was malformed in its place. */
    private sealed interface Input {
        record Valid(UwsgiRequest request) implements Input {}

        record Malformed(UwsgiException fault) implements Input {}
    }

    UwsgiConnection(Connection connection, ClientConnections callers, UwsgiFrontend front) {
        super(connection, callers);
        this.front = front;
    }

    /** The peer's address without its port. */
    String name() {
        String address = connection.peer();
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    @Override
    public Runnable received(byte[] bytes, int from, int to) {
        if (lost) {
            return null;
        }
        List<Input> items = new ArrayList<>(1);
        try {
            decoder.read(bytes, from, to, request -> items.add(new Input.Valid(request)));
        } catch (UwsgiException e) {
            lost = true;
            items.add(new Input.Malformed(e));
        }
        return items.isEmpty() ? null : () -> enqueue(items);
    }

    @Override
    public boolean within() {
        return decoder.within();
    }

    private void enqueue(List<Input> items) {
        if (!connection.open()) {
            return;
        }
        waiting.addAll(items);
        if (waiting.size() > MOST_WAITING) {
            connection.drop(CloseCode.FLOOD);
        } else {
            next();
        }
    }

    /** Serves waiting requests until one has to be awaited. */
    private void next() {
        while (connection.open() && open().isEmpty() && !waiting.isEmpty()) {
            Input input = waiting.poll();
            if (input instanceof Input.Malformed malformed) {
                fault(malformed.fault());
                return;
            }
            serve(((Input.Valid) input).request());
        }
    }

    private void serve(UwsgiRequest request) {
        if (request.ping()) {
            ping();
            return;
        }
        try {
            front.invoke(this, request, ++numbers);
        } catch (UwsgiException e) {
            // The request was complete, so the ones behind it can still be decoded.
            front.bad(connection.peer(), e);
            writeText(e.status, e.getMessage());
            settle();
        }
    }

    /** Malformed input ends the connection, with an answer where that is possible. */
    private void fault(UwsgiException fault) {
        front.bad(connection.peer(), fault);
        if (fault.status == 0) {
            connection.drop(CloseCode.BAD_INPUT);
            return;
        }
        writeText(fault.status, fault.getMessage());
        connection.close(CloseCode.BAD_INPUT);
    }

    /** An unhealthy server closes the connection without an answer, as if it were down. */
    private void ping() {
        if (!front.healthy()) {
            connection.drop(CloseCode.ANSWERED);
            return;
        }
        shows();
        answered = true;
        connection.write(UwsgiResponse.pong());
        settle();
    }

    private static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private void writeText(int status, String message) {
        write(new UwsgiResponse(status, Map.of("Content-Type", "text/plain"), text(message)));
    }

    private void write(UwsgiResponse answer) {
        answered = true;
        connection.write(answer.encode());
        if (!waiting.isEmpty()) {
            front.later(this::next);
        }
    }

    @Override
    protected void succeeds(RequestAttempt inv, byte[] result, boolean replayed) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/octet-stream");
        if (replayed) {
            headers.put("X-Idempotent-Replay", "true");
        }
        write(new UwsgiResponse(200, headers, result));
    }

    @Override
    protected void throttles(RequestAttempt inv, Duration retryIn, boolean last) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "text/plain");
        if (!retryIn.isZero()) {
            // HTTP has whole seconds, RFC 9110, section 10.2.3.
            headers.put("Retry-After", "" + Math.max(1, (retryIn.toMillis() + 999) / 1000));
            headers.put("X-Backoff-Ms", "" + Math.max(1, retryIn.toMillis()));
        }
        if (last) {
            headers.put("X-Final", "1");
        }
        write(new UwsgiResponse(503, headers, text("throttled")));
    }

    @Override
    protected void fails(RequestAttempt inv, FailureReason why) {
        int status =
                switch (why) {
                    case FAILED, NO_RESULT, RID_IN_USE -> 500;
                    case GIVEN_UP -> 504;
                    case OTHER_BODY -> 422;
                    case IN_FLIGHT, UNKNOWN_END -> 409;
                };
        writeText(status, why.text);
    }

    @Override
    protected boolean waits() {
        return !waiting.isEmpty();
    }

    @Override
    protected boolean done() {
        return answered;
    }
}
