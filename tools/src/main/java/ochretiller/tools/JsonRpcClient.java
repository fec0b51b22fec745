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

/** JSON-RPC over a few connections, as gateways send it. */
final class JsonRpcClient implements ProtocolClient {
    /** Fewer than a server lets be open on one connection. */
    private static final int OPEN = 30;

    private final int port;
    private final int most;
    private final String run;
    private final List<Line> lines = new ArrayList<>();
    private final LongAdder surplus = new LongAdder();
    private final LongAdder again = new LongAdder();
    private boolean closed;

    /**
     * A side without connections yet.
     *
     * @param run eight hex digits that tell its requests from those of other runs
     */
    JsonRpcClient(int port, int most, String run) {
        this.port = port;
        this.most = most;
        this.run = run;
    }

    /** The number of the request that a line answers, or -1 where it bears none. */
    static long id(String line) {
        int at = line.indexOf("\"id\":") + 5;
        return at < 5 ? -1 : Long.parseLong(line.substring(at, line.indexOf(',', at)));
    }

    static MeasuredRequest.Outcome outcome(String line) {
        return line.contains("\"result\"")
                ? MeasuredRequest.Outcome.SUCCEEDED
                : line.contains("-32014")
                        ? MeasuredRequest.Outcome.THROTTLED
                        : MeasuredRequest.Outcome.ERRORED;
    }

    private final class Line {
        private final FakeConnection wire = new FakeConnection(new Socket("127.0.0.1", port));
        private final Map<Long, MeasuredRequest> open = new ConcurrentHashMap<>();

        Line() throws IOException {
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try {
                for (String line = wire.line(); line != null; line = wire.line()) {
                    MeasuredRequest ask = open.remove(id(line));
                    if (ask == null || !ask.ends(outcome(line))) {
                        surplus.increment();
                    }
                }
            } catch (IOException e) {
                // the server has ended, or the load has
            }
            // A server closes what has long been silent: what crossed that close was not read, and
            // goes again.
            synchronized (JsonRpcClient.this) {
                lines.remove(this);
                if (closed) {
                    return;
                }
                for (MeasuredRequest ask : open.values()) {
                    again.increment();
                    try {
                        send(ask);
                    } catch (IOException e) {
                        ask.ends(MeasuredRequest.Outcome.NONE);
                    }
                }
            }
        }
    }

    @Override
    public synchronized void send(MeasuredRequest ask) throws IOException {
        Line free = null;
        for (Line line : lines) {
            if (line.open.size() < OPEN && (free == null || line.open.size() < free.open.size())) {
                free = line;
            }
        }
        if (free == null) {
            if (lines.size() == most) {
                throw new IOException(most + " connections are full: the server is far behind");
            }
            lines.add(free = new Line());
        }
        free.open.put(ask.number, ask);
        ask.sentAt = System.nanoTime();
        String text =
                GatewayMessages.message(
                        ask.number,
                        ask.operation,
                        GatewayMessages.params(
                                run + String.format("%08x", ask.number), ask.token, ask.body));
        try {
            free.wire.send(text);
        } catch (IOException e) {
            lines.remove(free); // its reader sends again what was open on it
        }
    }

    /** Requests that are open now. */
    synchronized int openNow() {
        int open = 0;
        for (Line line : lines) {
            open += line.open.size();
        }
        return open;
    }

    /** Requests that crossed the close of their connection. */
    long again() {
        return again.sum();
    }

    @Override
    public long surplus() {
        return surplus.sum();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        for (Line line : lines) {
            line.wire.close();
        }
    }
}
