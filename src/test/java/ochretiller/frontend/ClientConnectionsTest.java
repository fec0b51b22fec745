package ochretiller.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.ManualEventLoop;
import ochretiller.fakes.FakeConnection;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Network;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races between clients and the server on real sockets. The test runs the event loop's tasks itself
 * and so determines the order of events.
 */
class ClientConnectionsTest {
    private static final Duration ONE_MS = Duration.ofMillis(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(4);
    private static final int LIMIT = 16;
    private static final int REQUESTS_AT_ONCE = 300_000;
    private static final long MEMORY_BYTES = 64L * 1024 * 1024;
    private static final Operation READ =
            new Operation(
                    "read",
                    SideEffect.IDEMPOTENT,
                    Duration.ofSeconds(1),
                    LONGEST_WAIT,
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);

    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, MEMORY_BYTES);
    private final List<RequestAttempt> arrived = new ArrayList<>();
    private final List<RequestAttempt> aborted = new ArrayList<>();
    private final AtomicInteger acceptedCount = new AtomicInteger();
    private volatile Connection lastAccepted;
    private final List<CloseCode> violations = new ArrayList<>();
    private final List<FakeConnection> clients = new ArrayList<>();
    private ClientConnections clientConnections;
    private int port;

    /**
     * A protocol with one letter per message: {@code R} is a request, {@code o} has no effect,
     * {@code !} is a protocol violation, {@code .} is the start of an incomplete message.
     */
    private final class LetterProtocol extends ClientConnection {
        private boolean hasPartial;
        private long lastNumber;

        LetterProtocol(Connection connection) {
            super(connection, clientConnections);
            lastAccepted = connection;
        }

        @Override
        public Runnable decode(byte[] bytes, int from, int to) {
            String text = new String(bytes, from, to - from);
            hasPartial = text.endsWith(".");
            String requests = text.replaceAll("[^R]", "");
            if (text.contains("!")) {
                connection.stopReading();
            }
            if (text.equals(".")) {
                return null;
            }
            return () -> {
                for (int i = 0; i < requests.length(); i++) {
                    clientConnections.addAttempt(
                            new RequestAttempt(
                                    clientConnections.nextId(),
                                    connection.peerAddress() + '/' + ++lastNumber,
                                    READ,
                                    1,
                                    1,
                                    clientConnections.now(),
                                    0,
                                    null,
                                    null,
                                    new byte[0],
                                    this,
                                    lastNumber));
                }
                if (text.contains("!")) {
                    onProtocolViolation(CloseCode.BAD_INPUT);
                }
            };
        }

        @Override
        public boolean hasPartialMessage() {
            return hasPartial;
        }

        @Override
        public boolean onProtocolViolation(CloseCode code) {
            violations.add(code);
            return super.onProtocolViolation(code);
        }

        @Override
        protected boolean writeShutdown() {
            connection.write("shutdown\n");
            return true;
        }

        @Override
        protected void writeResult(RequestAttempt attempt, byte[] result, boolean replayed) {
            connection.write("done\n");
        }

        @Override
        protected void writeThrottled(
                RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
            connection.write("throttled\n");
        }

        @Override
        protected void writeError(RequestAttempt attempt, FailureReason reason) {
            connection.write("failed\n");
        }
    }

    @BeforeEach
    void listen() throws IOException {
        clientConnections =
                new ClientConnections(
                        loop,
                        new ClientLimits(LIMIT, MEMORY_BYTES, LONGEST_WAIT, IDLE_TIMEOUT),
                        arrived::add,
                        aborted::add,
                        attempt -> false);
        try (var free = new java.net.ServerSocket(0)) {
            port = free.getLocalPort();
        }
        network.listen(
                "test",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                connection -> {
                    var peer = clientConnections.register(new LetterProtocol(connection));
                    acceptedCount.incrementAndGet();
                    return peer;
                });
    }

    @AfterEach
    void stop() throws IOException {
        for (FakeConnection client : clients) {
            client.close();
        }
        network.stop();
    }

    private FakeConnection connect() throws Exception {
        int before = acceptedCount.get();
        FakeConnection client =
                new FakeConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        clients.add(client);
        while (acceptedCount.get() == before) {
            Thread.onSpinWait();
        }
        loop.runPosted();
        return client;
    }

    /** Connects a client that has sent one request and received the response. */
    private FakeConnection connectActive() throws Exception {
        FakeConnection client = connect();
        expectServed(client);
        return client;
    }

    private void expectServed(FakeConnection client) throws Exception {
        sendRequest(client);
        answer();
        assertThat(client.readLine()).isEqualTo("done");
    }

    /** Sends a request and waits until its attempt arrives on the event loop. */
    private void sendRequest(FakeConnection client) throws Exception {
        int before = arrived.size();
        client.send("R");
        while (arrived.size() == before) {
            loop.runNext();
        }
    }

    private void answer() {
        clientConnections.succeed(arrived.remove(0), new byte[0]);
        network.flush();
    }

    private void advanceTime(Duration duration) {
        // In small steps, because output is sent only by the flush after each step.
        for (Duration left = duration;
                !left.isZero() && !left.isNegative();
                left = left.minusMillis(50)) {
            loop.advance(ONE_MS.multipliedBy(50));
            network.flush();
        }
    }

    @Test
    void idleConnectionIsShutDownAndARequestInTransitIsAnswered() throws Exception {
        FakeConnection idle = connectActive();
        advanceTime(IDLE_TIMEOUT.plusMillis(150));
        assertThat(idle.readLine()).isEqualTo("shutdown");
        expectServed(idle);
        advanceTime(Duration.ofMillis(1_200));
        assertThat(idle.readLine()).isNull();
    }

    @Test
    void requestReadButNotProcessedAtTheIdleTimeoutIsAnswered() throws Exception {
        FakeConnection idle = connectActive();
        advanceTime(IDLE_TIMEOUT);
        idle.send("R");
        loop.awaitPosted(1);
        loop.advanceTimers(
                Duration.ofMillis(1_500)); // runs the sweeps before the request is processed
        network.flush();
        loop.runPosted();
        answer();
        assertThat(idle.readLine()).isEqualTo("done");
    }

    @Test
    void incompleteMessagePreventsTheIdleTimeoutUntilTheLongestWaitIsOver() throws Exception {
        FakeConnection slow = connectActive();
        FakeConnection idle = connectActive();
        slow.send(".");
        awaitEarlierReads();
        advanceTime(IDLE_TIMEOUT.plusMillis(300));
        assertThat(idle.readLine()).isEqualTo("shutdown");
        expectServed(slow);
        slow.send(".");
        awaitEarlierReads();
        advanceTime(LONGEST_WAIT.plusMillis(300));
        assertThat(slow.readLine()).isEqualTo("shutdown");
    }

    /**
     * An incomplete message posts no work to wait for. A later request on another connection, once
     * served, shows that the message was read.
     */
    private void awaitEarlierReads() throws Exception {
        expectServed(connect());
    }

    @Test
    void requestsBeforeAProtocolViolationAreAnswered() throws Exception {
        FakeConnection bad = connect();
        bad.send("RR!");
        while (arrived.size() < 2) {
            loop.runNext();
        }
        answer();
        bad.send("R"); // after the violation, so it is ignored
        answer();
        assertThat(bad.readLine()).isEqualTo("done");
        assertThat(bad.readLine()).isEqualTo("done");
        assertThat(bad.readLine()).isNull();
        loop.runPosted();
        assertThat(arrived).isEmpty();
    }

    /** Starts to send without a pause, until the server closes the connection. */
    private static void startFlood(FakeConnection flooding) {
        Thread sender = new Thread(() -> flooding.sendUntilClosed("o".repeat(64 * 1024), 10_000));
        sender.setDaemon(true);
        sender.start();
    }

    @Test
    @Timeout(30)
    void requestBeforeAFloodIsAnswered() throws Exception {
        FakeConnection flooding = connect();
        sendRequest(flooding);
        startFlood(flooding);
        while (violations.isEmpty()) {
            loop.runNext(); // one turn, which decodes less than was sent
            loop.advanceTimers(ONE_MS.multipliedBy(20));
        }
        assertThat(violations).containsExactly(CloseCode.FLOOD);
        assertThat(lastAccepted.isReadingStopped()).isTrue();
        network.flush();
        assertThat(aborted).isEmpty();
        answer();
        assertThat(flooding.readLine()).isEqualTo("done");
        assertThat(flooding.readLine()).isNull();
    }

    // Guards against a usual client that is closed as a flood, because beside others it is served
    // more
    // slowly than it sends, although it never has more requests open than it may.
    @Test
    @Timeout(30)
    void clientWhoseRequestsAreAcceptedIsNoFlood() throws Exception {
        FakeConnection usual = connect();
        Thread sender = new Thread(() -> usual.sendUntilClosed("R".repeat(REQUESTS_AT_ONCE), 1));
        sender.setDaemon(true);
        sender.start();
        for (int answered = 0; answered < REQUESTS_AT_ONCE && violations.isEmpty(); ) {
            loop.runNext();
            loop.advanceTimers(ONE_MS.multipliedBy(20));
            for (; !arrived.isEmpty(); answered++) {
                clientConnections.abort(arrived.remove(0)); // is no longer waited for
            }
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void answerArrivesAlthoughTheConnectionIsClosedWithUnreadInput() throws Exception {
        FakeConnection bad = connect();
        bad.send("R!");
        while (arrived.isEmpty()) {
            loop.runNext();
        }
        bad.send("x".repeat(4_096)); // never read
        answer();
        assertThat(bad.readLine()).isEqualTo("done");
        assertThat(bad.readLine()).isNull();
    }

    @Test
    void firstRequestsOfManySimultaneousClientsAreAnswered() throws Exception {
        List<FakeConnection> newcomers = new ArrayList<>();
        for (int i = 0; i < LIMIT / 2; i++) {
            newcomers.add(connect());
        }
        network.flush();
        int shutdowns = 0;
        for (FakeConnection client : newcomers) {
            sendRequest(client);
            answer();
            String line = client.readLine();
            if (line.equals("shutdown")) {
                shutdowns++;
                line = client.readLine();
            }
            assertThat(line).isEqualTo("done");
        }
        // The number of newcomers beyond their share of the table.
        assertThat(shutdowns).isEqualTo(LIMIT / 2 - LIMIT / 4);
    }

    @Test
    void tooManySilentClientsAreClosedOldestFirstAndActiveOnesStay() throws Exception {
        FakeConnection active = connectActive();
        List<FakeConnection> silent = new ArrayList<>();
        for (int i = 0; i < LIMIT / 2 - 1; i++) {
            silent.add(connect());
        }
        advanceTime(Duration.ofMillis(250));
        for (int i = 0; i < LIMIT / 4 - 1; i++) {
            assertThat(silent.get(i).readLine()).isEqualTo("shutdown");
            assertThat(silent.get(i).readLine()).isNull();
        }
        for (FakeConnection client : List.of(active, silent.get(LIMIT / 2 - 2))) {
            expectServed(client);
        }
    }

    @Test
    void floodOfSilentClientsIsDroppedAtOnceAndActiveOnesStay() throws Exception {
        FakeConnection active = connectActive();
        List<FakeConnection> flood = new ArrayList<>();
        for (int i = 0; i < 10 * LIMIT; i++) {
            flood.add(connect());
        }
        expectServed(active);
        while (clientConnections.connectionCount() > LIMIT / 2 + 1) {
            loop.runNext(); // processes the ends of the dropped connections
        }
        expectServed(connect());
    }

    // Guards against a new client that is asked to leave in place of silent ones, because the ends
    // of
    // their input were read but not processed yet.
    @Test
    void newClientStaysBesideSilentOnesThatHaveLeft() throws Exception {
        List<FakeConnection> silent = new ArrayList<>();
        for (int i = 0; i < LIMIT / 4; i++) {
            silent.add(connect());
        }
        FakeConnection newest =
                new FakeConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        clients.add(newest);
        loop.awaitPosted(1); // accepted, but not added yet
        for (FakeConnection client : silent) {
            client.close();
        }
        loop.awaitPosted(1 + silent.size());
        loop.runPosted();
        network.flush();
        expectServed(newest);
    }

    // Guards against a drain that ends before all requests that were read have been looked at.
    @Test
    void inputThatWaitsForItsTurnIsNotProcessed() throws Exception {
        FakeConnection client = connectActive();
        assertThat(clientConnections.isInputProcessed()).isTrue();
        client.send("R");
        loop.awaitPosted(1);
        assertThat(clientConnections.isInputProcessed()).isFalse();
        loop.runPosted();
        assertThat(clientConnections.isInputProcessed()).isTrue();
        answer();
    }

    @Test
    void drainAsksClientsToLeaveAndClosesAfterAllIsAnswered() throws Exception {
        FakeConnection busy = connectActive();
        sendRequest(busy);
        clientConnections.startDrain();
        network.flush();
        assertThat(busy.readLine()).isEqualTo("shutdown");
        answer();
        assertThat(busy.readLine()).isEqualTo("done");
        clientConnections.closeAll();
        network.flush();
        assertThat(busy.readLine()).isNull();
        assertThat(clientConnections.connectionCount()).isOne(); // until the client closes its side
        busy.close();
        while (clientConnections.connectionCount() > 0) {
            loop.runNext();
        }
    }
}
