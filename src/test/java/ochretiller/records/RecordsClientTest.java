package ochretiller.records;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.ManualEventLoop;
import ochretiller.fakes.FakeConnection;
import ochretiller.model.CallOutcome;
import ochretiller.net.Network;
import org.junit.jupiter.api.Test;

class RecordsClientTest {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 64L * 1024 * 1024);
    private final List<CallOutcome.Status> ends = new ArrayList<>();

    private static InetSocketAddress address(ServerSocket service) {
        return new InetSocketAddress(service.getInetAddress(), service.getLocalPort());
    }

    private static ServerSocket service(int backlog) throws IOException {
        ServerSocket service = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        service.setSoTimeout(10_000);
        return service;
    }

    private RecordsClient records(ServerSocket service) {
        return new RecordsClient(loop, network, address(service), 8);
    }

    private void call(RecordsClient records, String rid) {
        records.call(rid, PATIENCE, new byte[] {1}, (end, reply) -> ends.add(end.status()));
    }

    /** A service whose backlog is full: who connects hangs. */
    private static ServerSocket full(List<Socket> held) throws IOException {
        ServerSocket service = service(1);
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(address(service), 200);
                held.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return service;
            }
        }
    }

    @Test
    void callThatWaitsForAHangingConnectionIsWrittenToTheNextAddressAtOnce() throws Exception {
        List<Socket> held = new ArrayList<>();
        try (ServerSocket old = full(held);
                ServerSocket next = service(50)) {
            RecordsClient records = records(old);
            call(records, "a");
            records.move(address(next));
            FakeConnection wire = new FakeConnection(next.accept());
            loop.one(); // the connection is there
            network.flush();
            assertThat(wire.line()).startsWith("OP a ");
            assertThat(wire.bytes(1)).isEqualTo("\u0001");
            wire.send("a DONE 0\r\n\r\n");
            loop.one();
            assertThat(ends).containsExactly(CallOutcome.Status.SUCCEEDED);
            wire.close();
        } finally {
            for (Socket socket : held) {
                socket.close();
            }
            network.stop();
        }
    }

    @Test
    void addressThatMovesWithCallsConnectingWaitingAndWrittenLosesNone() throws Exception {
        try (ServerSocket old = service(50);
                ServerSocket next = service(50)) {
            RecordsClient records = records(old);
            call(records, "written");
            FakeConnection first = new FakeConnection(old.accept());
            loop.one();
            network.flush();
            assertThat(first.line()).startsWith("OP written ");
            first.bytes(1);
            call(records, "connecting");
            FakeConnection second = new FakeConnection(old.accept());
            loop.await(1); // its connection is made, and the loop does not know yet
            records.move(address(next));
            FakeConnection third = new FakeConnection(next.accept());
            loop.await(2);
            loop.all();
            network.flush();
            assertThat(third.line()).startsWith("OP connecting ");
            third.bytes(1);
            assertThat(second.line()).isNull(); // nothing was written on it
            first.send("written DONE 0\r\n\r\n");
            third.send("connecting DONE 0\r\n\r\n");
            for (int i = 0; ends.size() < 2 && i < 10; i++) {
                loop.one();
            }
            assertThat(ends)
                    .containsExactly(CallOutcome.Status.SUCCEEDED, CallOutcome.Status.SUCCEEDED);
        } finally {
            network.stop();
        }
    }

    @Test
    void callWhereThereIsNoServiceIsKnownNotToHaveRun() throws Exception {
        RecordsClient records = new RecordsClient(loop, network, null, 8);
        records.move(null);
        call(records, "a");
        loop.one();
        assertThat(ends).containsExactly(CallOutcome.Status.UNREACHABLE);
        network.stop();
    }

    @Test
    void connectionThatBreaksUnderACallProvesNothingAndARefusedOneThatItNeverRan()
            throws Exception {
        ServerSocket service = service(50);
        RecordsClient records = records(service);
        call(records, "a");
        FakeConnection wire = new FakeConnection(service.accept());
        loop.one();
        network.flush();
        assertThat(wire.line()).startsWith("OP a ");
        service.close();
        wire.reset();
        for (int i = 0; ends.isEmpty() && i < 10; i++) {
            loop.one();
        }
        assertThat(ends).containsExactly(CallOutcome.Status.RESET);
        call(records, "b");
        for (int i = 0; ends.size() < 2 && i < 10; i++) {
            loop.one();
        }
        assertThat(ends).containsExactly(CallOutcome.Status.RESET, CallOutcome.Status.UNREACHABLE);
        network.stop();
    }

    @Test
    void replyThatCrossesTheGivingUpOfItsCallIsNobodysElse() throws Exception {
        try (ServerSocket service = service(50)) {
            RecordsClient records = records(service);
            call(records, "a");
            FakeConnection wire = new FakeConnection(service.accept());
            loop.one();
            network.flush();
            wire.line();
            wire.bytes(1);
            wire.send("a DONE 0\r\n\r\n");
            loop.await(1); // the reply is read, and not worked off
            records.abandon("a");
            call(records, "b");
            FakeConnection other = new FakeConnection(service.accept());
            loop.one(); // the late reply
            assertThat(ends).isEmpty();
            assertThat(wire.line()).isEqualTo("UNOP a");
            assertThat(wire.line()).isNull();
            for (int i = 0; i < 2; i++) {
                loop.one(); // the end of that connection, and the new one
            }
            network.flush();
            assertThat(other.line()).startsWith("OP b ");
            other.bytes(1);
            other.send("b DONE 0\r\n\r\n");
            loop.one();
            assertThat(ends).containsExactly(CallOutcome.Status.SUCCEEDED);
        } finally {
            network.stop();
        }
    }
}
