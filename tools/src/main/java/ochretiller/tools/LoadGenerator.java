package ochretiller.tools;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends JSON-RPC requests over a few connections in open loop, at random times drawn from a seed.
 * Latency is measured from the time at which a request was due, so that requests that fall due
 * while the server stalls count with their whole delay (no coordinated omission).
 */
final class LoadGenerator {
    /** Less than the number of open requests that a server allows on one connection. */
    private static final int MAX_OPEN_PER_CONNECTION = 30;

    final Histogram keyedLatencyMicros = new ConcurrentHistogram(3);
    final Histogram readLatencyMicros = new ConcurrentHistogram(3);
    final LongAdder succeededRequests = new LongAdder();
    final LongAdder throttledRequests = new LongAdder();
    final LongAdder erroredRequests = new LongAdder();
    private final List<Connection> connections = new ArrayList<>();
    private final SplittableRandom random;
    private final String runId;
    private long lastNumber;

    /** A connection with its open requests. */
    private final class Connection {
        private final FakeConnection socket;
        private final Semaphore permits = new Semaphore(MAX_OPEN_PER_CONNECTION);

        /** By request number: the due time in nanoseconds, and 1 for a keyed request, else 0. */
        private final ConcurrentHashMap<Long, long[]> openRequests = new ConcurrentHashMap<>();

        Connection(int port) throws IOException {
            socket = new FakeConnection(new Socket("127.0.0.1", port));
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try {
                for (String line = socket.readLine(); line != null; line = socket.readLine()) {
                    long[] request = openRequests.remove(JsonRpcClient.parseRequestNumber(line));
                    if (request == null) {
                        continue;
                    }
                    permits.release();
                    long latencyMicros = Math.max(1, (System.nanoTime() - request[0]) / 1_000);
                    switch (JsonRpcClient.parseOutcome(line)) {
                        case SUCCEEDED -> {
                            succeededRequests.increment();
                            (request[1] == 1 ? keyedLatencyMicros : readLatencyMicros)
                                    .recordValue(latencyMicros);
                        }
                        case THROTTLED -> throttledRequests.increment();
                        default -> erroredRequests.increment();
                    }
                }
            } catch (IOException e) {
                // the server has exited, or this generator was closed
            }
        }
    }

    LoadGenerator(int port, int connectionCount, long seed) throws IOException {
        random = new SplittableRandom(seed);
        runId = String.format("%08x", random.nextInt());
        for (int i = 0; i < connectionCount; i++) {
            connections.add(new Connection(port));
        }
    }

    /**
     * Sends requests for this time and waits up to 6 s on each connection for their answers. A
     * share of them, 0 to 1, is keyed, each with a token of its own.
     */
    void send(double perSecond, double seconds, double keyedShare)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        double at = 0;
        while (true) {
            at += RandomStreams.exponential(random, 1 / perSecond);
            if (at > seconds) {
                break;
            }
            long due = start + (long) (at * 1e9);
            PreciseTimer.waitUntil(due);
            boolean isKeyed = random.nextDouble() < keyedShare;
            Connection connection = connections.get((int) (++lastNumber % connections.size()));
            connection.permits.acquire();
            String rid = runId + String.format("%08x", lastNumber);
            connection.openRequests.put(lastNumber, new long[] {due, isKeyed ? 1 : 0});
            String token = isKeyed ? runId + runId + String.format("%016x", lastNumber) : null;
            connection.socket.send(
                    GatewayMessages.message(
                            lastNumber,
                            isKeyed ? "order" : "read",
                            GatewayMessages.params(rid, token, "load")));
        }
        for (Connection connection : connections) {
            if (connection.permits.tryAcquire(MAX_OPEN_PER_CONNECTION, 6, TimeUnit.SECONDS)) {
                connection.permits.release(MAX_OPEN_PER_CONNECTION);
            }
        }
    }

    long sentRequests() {
        return lastNumber;
    }

    void close() throws IOException {
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }
}
