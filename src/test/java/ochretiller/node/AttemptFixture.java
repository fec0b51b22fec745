package ochretiller.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ochretiller.ManualEventLoop;
import ochretiller.frontend.ClientConnection;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.ClientLimits;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import ochretiller.net.Connection;
import ochretiller.net.Network;

/** One connected client whose requests a test creates, and a list of the answers it gets. */
final class AttemptFixture implements AutoCloseable {
    static final Duration SECOND = Duration.ofSeconds(1);
    static final Operation READ =
            new Operation(
                    "read",
                    SideEffect.IDEMPOTENT,
                    SECOND,
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);
    static final Operation ORDER =
            new Operation(
                    "order",
                    SideEffect.KEYED,
                    SECOND,
                    SECOND.multipliedBy(4),
                    1,
                    0,
                    SECOND.multipliedBy(10),
                    false,
                    0);
    private static final int MAX_CONNECTIONS = 16;
    private static final long MEMORY_BYTES = 64L * 1024 * 1024;
    private static final long MAX_WAIT_S = 10;

    final ManualEventLoop loop = new ManualEventLoop();
    final Network network = new Network(loop, MEMORY_BYTES);
    final ClientConnections connections;
    private final List<String> events;
    private final BlockingQueue<Client> acceptedClients = new LinkedBlockingQueue<>();
    private final Socket socket;
    private final Client client;
    private long requestCount;

    /** Adds each answer to the list of events. */
    private final class Client extends ClientConnection {
        Client(Connection connection) {
            super(connection, connections);
        }

        @Override
        public Runnable decode(byte[] bytes, int from, int to) {
            return null;
        }

        @Override
        protected void writeResult(RequestAttempt attempt, byte[] result, boolean replayed) {
            events.add((replayed ? "replay " : "answer ") + new String(result));
        }

        @Override
        protected void writeThrottled(
                RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
            events.add("throttle");
        }

        @Override
        protected void writeError(RequestAttempt attempt, FailureReason reason) {
            events.add("error " + reason);
        }
    }

    AttemptFixture(List<String> events) throws IOException, InterruptedException {
        this.events = events;
        connections =
                new ClientConnections(
                        loop,
                        new ClientLimits(
                                MAX_CONNECTIONS,
                                MEMORY_BYTES,
                                SECOND.multipliedBy(4),
                                SECOND.multipliedBy(60)),
                        attempt -> {},
                        attempt -> {},
                        attempt -> false);
        int port;
        try (ServerSocket unusedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedPort.getLocalPort();
        }
        network.listen(
                "test",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                connection -> {
                    Client newClient = new Client(connection);
                    connections.register(newClient);
                    acceptedClients.add(newClient);
                    return newClient;
                });
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        client = acceptedClients.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        loop.runPosted();
    }

    /** Opens a request of the client; that of a keyed operation has a token. */
    RequestAttempt receive(Operation operation, String body) {
        requestCount++;
        RequestAttempt attempt =
                new RequestAttempt(
                        connections.nextId(),
                        "rid" + requestCount,
                        operation,
                        1,
                        1,
                        loop.now(),
                        0,
                        "token",
                        null,
                        body.getBytes(),
                        client,
                        requestCount);
        connections.addAttempt(attempt);
        return attempt;
    }

    @Override
    public void close() throws IOException {
        socket.close();
        network.stop();
    }
}
