package ochretiller.tools;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/** Sends JSON-RPC requests over a few shared connections, as gateways do. */
final class JsonRpcClient implements ProtocolClient {
    /** Less than the number of open requests that a server allows on one connection. */
    private static final int MAX_OPEN_PER_CONNECTION = 30;

    private final int port;
    private final int maxConnections;
    private final String runId;
    private final List<Connection> connections = new ArrayList<>();
    private final LongAdder unexpectedAnswerCount = new LongAdder();
    private final LongAdder resendCount = new LongAdder();
    private boolean closed;

    /**
     * Creates a client, which opens its connections as it needs them.
     *
     * @param runId eight hex digits, the prefix of this client's request IDs
     */
    JsonRpcClient(int port, int maxConnections, String runId) {
        this.port = port;
        this.maxConnections = maxConnections;
        this.runId = runId;
    }

    /** Returns the number of the request that a line answers, or -1 if the line has none. */
    static long parseRequestNumber(String line) {
        int start = line.indexOf("\"id\":") + 5;
        return start < 5 ? -1 : Long.parseLong(line.substring(start, line.indexOf(',', start)));
    }

    static MeasuredRequest.Outcome parseOutcome(String line) {
        return line.contains("\"result\"")
                ? MeasuredRequest.Outcome.SUCCEEDED
                : line.contains("-32014")
                        ? MeasuredRequest.Outcome.THROTTLED
                        : MeasuredRequest.Outcome.ERRORED;
    }

    private final class Connection {
        private final FakeConnection socket = new FakeConnection(new Socket("127.0.0.1", port));
        private final Map<Long, MeasuredRequest> openRequests = new ConcurrentHashMap<>();

        Connection() throws IOException {
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try {
                for (String line = socket.readLine(); line != null; line = socket.readLine()) {
                    MeasuredRequest request = openRequests.remove(parseRequestNumber(line));
                    if (request == null || !request.end(parseOutcome(line))) {
                        unexpectedAnswerCount.increment();
                    }
                }
            } catch (IOException e) {
                // the server has exited, or this client was closed
            }
            // The server closes idle connections. It has not read the requests that were sent
            // during such a close: they are sent again.
            synchronized (JsonRpcClient.this) {
                connections.remove(this);
                if (closed) {
                    return;
                }
                for (MeasuredRequest request : openRequests.values()) {
                    resendCount.increment();
                    try {
                        send(request);
                    } catch (IOException e) {
                        request.end(MeasuredRequest.Outcome.UNANSWERED);
                    }
                }
            }
        }
    }

    @Override
    public synchronized void send(MeasuredRequest request) throws IOException {
        Connection target = null;
        for (Connection connection : connections) {
            if (connection.openRequests.size() < MAX_OPEN_PER_CONNECTION
                    && (target == null
                            || connection.openRequests.size() < target.openRequests.size())) {
                target = connection;
            }
        }
        if (target == null) {
            if (connections.size() == maxConnections) {
                throw new IOException(
                        "all "
                                + maxConnections
                                + " connections have the maximum of open requests: the server"
                                + " cannot keep up");
            }
            connections.add(target = new Connection());
        }
        target.openRequests.put(request.number, request);
        request.sentNanos = System.nanoTime();
        String message =
                GatewayMessages.message(
                        request.number,
                        request.operation,
                        GatewayMessages.params(
                                runId + String.format("%08x", request.number),
                                request.token,
                                request.body));
        try {
            target.socket.send(message);
        } catch (IOException e) {
            connections.remove(target); // its reader thread sends its open requests again
        }
    }

    /** Returns the number of requests that are open now, on all connections. */
    synchronized int openRequestCount() {
        int count = 0;
        for (Connection connection : connections) {
            count += connection.openRequests.size();
        }
        return count;
    }

    /** Returns how many requests were sent again because their connection was closed. */
    long resentRequests() {
        return resendCount.sum();
    }

    @Override
    public long unexpectedAnswers() {
        return unexpectedAnswerCount.sum();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }
}
