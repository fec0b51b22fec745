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
 * One connection of a front end. It has one request by the protocol; further ones that come behind
 * it on the same connection are answered one after another, since an answer bears no name.
 */
final class UwsgiConnection extends ClientConnection {
    /** Requests that may wait for the one before them. */
    private static final int MOST_WAITING = 32;

    private final UwsgiFrontend front;
    private final UwsgiRequestDecoder decoder = new UwsgiRequestDecoder(UwsgiFrontend.LONGEST_BODY);
    private final Queue<Item> waiting = new ArrayDeque<>();

    /** On the network's thread: what follows cannot be read any more. */
    private boolean lost;

    private long numbers;
    private boolean answered;

    /** A request, or what is wrong with what stood in its place. */
    private record Item(UwsgiRequest request, UwsgiException fault) {}

    UwsgiConnection(Connection connection, ClientConnections callers, UwsgiFrontend front) {
        super(connection, callers);
        this.front = front;
    }

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
        List<Item> items = new ArrayList<>(1);
        try {
            decoder.read(bytes, from, to, request -> items.add(new Item(request, null)));
        } catch (UwsgiException e) {
            lost = true;
            items.add(new Item(null, e));
        }
        return items.isEmpty() ? null : () -> come(items);
    }

    @Override
    public boolean within() {
        return decoder.within();
    }

    private void come(List<Item> items) {
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

    /** The next request, once the one before it is answered. */
    private void next() {
        while (connection.open() && open().isEmpty() && !waiting.isEmpty()) {
            Item item = waiting.poll();
            if (item.fault != null) {
                fault(item.fault);
                return;
            }
            if (item.request.ping()) {
                ping();
                continue;
            }
            try {
                front.invoke(this, item.request, ++numbers);
            } catch (UwsgiException e) {
                // It is whole, and what follows can be read: it alone is refused.
                front.bad(connection.peer(), e);
                write(
                        new UwsgiResponse(
                                e.status,
                                Map.of("Content-Type", "text/plain"),
                                text(e.getMessage())));
                settle();
            }
        }
    }

    /** What cannot be read ends the connection, with an answer where a request had begun. */
    private void fault(UwsgiException fault) {
        front.bad(connection.peer(), fault);
        if (fault.status == 0) {
            connection.drop(CloseCode.BAD_INPUT);
            return;
        }
        write(
                new UwsgiResponse(
                        fault.status,
                        Map.of("Content-Type", "text/plain"),
                        text(fault.getMessage())));
        connection.close(CloseCode.BAD_INPUT);
    }

    /** A server that is not well leaves a ping without an answer, as one does that is not there. */
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
            headers.put(
                    "Retry-After",
                    "" + Math.max(1, (retryIn.toMillis() + 999) / 1000)); // whole seconds by HTTP
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
        write(new UwsgiResponse(status, Map.of("Content-Type", "text/plain"), text(why.text)));
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
