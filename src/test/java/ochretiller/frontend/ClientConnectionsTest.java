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

/**
 * What crosses on real sockets, in the order that a test forces: the one thread's work is in its
 * hands.
 */
class ClientConnectionsTest {
    private static final Duration MS = Duration.ofMillis(1);
    private static final Duration IDLE = Duration.ofSeconds(2);
    private static final Duration LONGEST = Duration.ofSeconds(4);
    private static final int LIMIT = 16;
    private static final Operation READ =
            new Operation(
                    "read",
                    SideEffect.IDEMPOTENT,
                    Duration.ofSeconds(1),
                    LONGEST,
                    1,
                    0,
                    Duration.ZERO,
                    false,
                    0);

    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 64L * 1024 * 1024);
    private final List<RequestAttempt> arrived = new ArrayList<>();
    private final List<RequestAttempt> gone = new ArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile Connection last;
    private final List<CloseCode> spoilt = new ArrayList<>();
    private final List<FakeConnection> wires = new ArrayList<>();
    private ClientConnections callers;
    private int port;

    /**
     * A front of one letter a message: {@code R} asks, {@code o} does nothing, {@code !} cannot be
     * read, {@code .} has only begun.
     */
    private final class Letters extends ClientConnection {
        private boolean begun;
        private long numbers;

        Letters(Connection connection) {
            super(connection, callers);
            last = connection;
        }

        @Override
        public Runnable received(byte[] bytes, int from, int to) {
            String text = new String(bytes, from, to - from);
            begun = text.endsWith(".");
            String requests = text.replaceAll("[^R]", "");
            if (text.contains("!")) {
                connection.deafen();
            }
            if (text.equals(".")) {
                return null;
            }
            return () -> {
                for (int i = 0; i < requests.length(); i++) {
                    callers.opened(
                            new RequestAttempt(
                                    callers.nextId(),
                                    connection.peer() + '/' + ++numbers,
                                    READ,
                                    1,
                                    1,
                                    callers.now(),
                                    0,
                                    null,
                                    null,
                                    new byte[0],
                                    this,
                                    numbers));
                }
                if (text.contains("!")) {
                    spoilt(CloseCode.BAD_INPUT);
                }
            };
        }

        @Override
        public boolean within() {
            return begun;
        }

        @Override
        public boolean spoilt(CloseCode code) {
            spoilt.add(code);
            return super.spoilt(code);
        }

        @Override
        protected boolean leaves() {
            connection.write("shutdown\n");
            return true;
        }

        @Override
        protected void succeeds(RequestAttempt inv, byte[] result, boolean replayed) {
            connection.write("done\n");
        }

        @Override
        protected void throttles(RequestAttempt inv, Duration retryIn, boolean last) {
            connection.write("throttled\n");
        }

        @Override
        protected void fails(RequestAttempt inv, FailureReason why) {
            connection.write("failed\n");
        }
    }

    @BeforeEach
    void listen() throws IOException {
        callers = new ClientConnections(loop, LIMIT, LONGEST, IDLE, arrived::add, gone::add);
        try (var free = new java.net.ServerSocket(0)) {
            port = free.getLocalPort();
        }
        network.listen(
                "test",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                connection -> {
                    var peer = callers.accepted(new Letters(connection));
                    accepted.incrementAndGet();
                    return peer;
                });
    }

    @AfterEach
    void stop() throws IOException {
        for (FakeConnection wire : wires) {
            wire.close();
        }
        network.stop();
    }

    private FakeConnection dial() throws Exception {
        int before = accepted.get();
        FakeConnection wire =
                new FakeConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        wires.add(wire);
        while (accepted.get() == before) {
            Thread.onSpinWait();
        }
        loop.all();
        return wire;
    }

    /** A caller that has asked once and has its answer. */
    private FakeConnection known() throws Exception {
        FakeConnection wire = dial();
        expectServed(wire);
        return wire;
    }

    private void expectServed(FakeConnection wire) throws Exception {
        ask(wire);
        answer();
        assertThat(wire.line()).isEqualTo("done");
    }

    /** Its request has come to the owner. */
    private void ask(FakeConnection wire) throws Exception {
        int before = arrived.size();
        wire.send("R");
        while (arrived.size() == before) {
            loop.one();
        }
    }

    private void answer() {
        callers.succeed(arrived.remove(0), new byte[0]);
        network.flush();
    }

    private void pass(Duration span) {
        // In small steps: what is written goes out behind each gathering.
        for (Duration left = span;
                !left.isZero() && !left.isNegative();
                left = left.minusMillis(50)) {
            loop.pass(MS.multipliedBy(50));
            network.flush();
        }
    }

    @Test
    void restingConnectionIsToldAndARequestThatCrossesTheWordIsAnswered() throws Exception {
        FakeConnection resting = known();
        pass(IDLE.plusMillis(150));
        assertThat(resting.line()).isEqualTo("shutdown");
        expectServed(resting);
        pass(Duration.ofMillis(1_200));
        assertThat(resting.line()).isNull();
    }

    @Test
    void requestThatIsReadButNotWorkedOffAsTheTimeComesIsAnswered() throws Exception {
        FakeConnection resting = known();
        pass(IDLE);
        resting.send("R");
        loop.await(1);
        loop.due(Duration.ofMillis(1_500)); // the sweeps come before it is worked off
        network.flush();
        loop.all();
        answer();
        assertThat(resting.line()).isEqualTo("done");
    }

    @Test
    void halfAMessageIsNoRestUntilNobodyWaitsForItAnyMore() throws Exception {
        FakeConnection slow = known();
        FakeConnection rests = known();
        slow.send(".");
        settleReads();
        pass(IDLE.plusMillis(300));
        assertThat(rests.line()).isEqualTo("shutdown");
        expectServed(slow);
        slow.send(".");
        settleReads();
        pass(LONGEST.plusMillis(300));
        assertThat(slow.line()).isEqualTo("shutdown");
    }

    /**
     * Half a message leaves no work: what is read behind it on another connection shows that it was
     * read.
     */
    private void settleReads() throws Exception {
        expectServed(dial());
    }

    @Test
    void callerThatCannotBeReadAnyMoreGetsWhatItIsOwed() throws Exception {
        FakeConnection bad = dial();
        bad.send("RR!");
        while (arrived.size() < 2) {
            loop.one();
        }
        answer();
        bad.send("R"); // behind what cannot be read: nothing of it counts
        answer();
        assertThat(bad.line()).isEqualTo("done");
        assertThat(bad.line()).isEqualTo("done");
        assertThat(bad.line()).isNull();
        loop.all();
        assertThat(arrived).isEmpty();
    }

    @Test
    void floodedCallerGetsWhatItIsOwed() throws Exception {
        FakeConnection flood = dial();
        ask(flood);
        assertThat(flood.sendsUntilItEnds("o".repeat(64 * 1024), 4)).isFalse();
        while (!last.deaf()) {
            Thread.onSpinWait(); // nothing of it is worked off until the bound is passed
        }
        while (spoilt.isEmpty()) {
            loop.one();
        }
        assertThat(spoilt).containsExactly(CloseCode.FLOOD);
        network.flush();
        assertThat(gone).isEmpty();
        answer();
        assertThat(flood.line()).isEqualTo("done");
        assertThat(flood.line()).isNull();
    }

    @Test
    void answersBeforeACloseOverUnreadBytesArrive() throws Exception {
        FakeConnection bad = dial();
        bad.send("R!");
        while (arrived.isEmpty()) {
            loop.one();
        }
        bad.send("x".repeat(4_096)); // nobody reads it
        answer();
        assertThat(bad.line()).isEqualTo("done");
        assertThat(bad.line()).isNull();
    }

    @Test
    void waveOfCallersLosesNoFirstRequestToTheRoomThatItNeeds() throws Exception {
        List<FakeConnection> wave = new ArrayList<>();
        for (int i = 0; i < LIMIT / 2; i++) {
            wave.add(dial());
        }
        network.flush();
        int told = 0;
        for (FakeConnection wire : wave) {
            ask(wire);
            answer();
            String line = wire.line();
            if (line.equals("shutdown")) {
                told++;
                line = wire.line();
            }
            assertThat(line).isEqualTo("done");
        }
        assertThat(told)
                .isEqualTo(
                        LIMIT / 2 - LIMIT / 4); // as many as had shown nothing beyond their part of
        // the table
    }

    @Test
    void tooManyThatSayNothingMakeRoomOldestFirstAndLeaveWhoHasShownSomething() throws Exception {
        FakeConnection known = known();
        List<FakeConnection> silent = new ArrayList<>();
        for (int i = 0; i < LIMIT / 2 - 1; i++) {
            silent.add(dial());
        }
        pass(Duration.ofMillis(250));
        for (int i = 0; i < LIMIT / 4 - 1; i++) {
            assertThat(silent.get(i).line()).isEqualTo("shutdown");
            assertThat(silent.get(i).line()).isNull();
        }
        for (FakeConnection wire : List.of(known, silent.get(LIMIT / 2 - 2))) {
            expectServed(wire);
        }
    }

    @Test
    void floodOfThoseThatSayNothingMakesRoomAtOnceAndLeavesWhoHasShownSomething() throws Exception {
        FakeConnection known = known();
        List<FakeConnection> flood = new ArrayList<>();
        for (int i = 0; i < 10 * LIMIT; i++) {
            flood.add(dial());
        }
        expectServed(known);
        while (callers.connections() > LIMIT / 2 + 1) {
            loop.one(); // what was dropped has ended; a few were told
        }
        expectServed(dial());
    }

    @Test
    void leavingTellsAndClosesOnceAllIsAnswered() throws Exception {
        FakeConnection busy = known();
        ask(busy);
        callers.leave();
        network.flush();
        assertThat(busy.line()).isEqualTo("shutdown");
        answer();
        assertThat(busy.line()).isEqualTo("done");
        callers.close();
        network.flush();
        assertThat(busy.line()).isNull();
        assertThat(callers.connections()).isOne(); // until it has ended its side
        busy.close();
        while (callers.connections() > 0) {
            loop.one();
        }
    }
}
