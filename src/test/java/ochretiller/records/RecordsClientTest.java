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
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 64L * 1024 * 1024);
    private final List<CallOutcome.Status> outcomes = new ArrayList<>();

    private static InetSocketAddress address(ServerSocket service) {
        return new InetSocketAddress(service.getInetAddress(), service.getLocalPort());
    }

    private static ServerSocket service(int backlog) throws IOException {
        ServerSocket service = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        service.setSoTimeout(10_000);
        return service;
    }

    private RecordsClient client(ServerSocket service) {
        return new RecordsClient(loop, network, address(service), 8);
    }

    private void call(RecordsClient records, String rid) {
        records.call(
                rid, TIMEOUT, new byte[] {1}, (outcome, reply) -> outcomes.add(outcome.status()));
    }

    /** Creates a service whose backlog is full, so that further connects hang. */
    private static ServerSocket fullService(List<Socket> pending) throws IOException {
        ServerSocket service = service(1);
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(address(service), 200);
                pending.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return service;
            }
        }
    }

    @Test
    void callThatWaitsForAHangingConnectIsWrittenToTheNewAddressAtOnce() throws Exception {
        List<Socket> pending = new ArrayList<>();
        try (ServerSocket old = fullService(pending);
                ServerSocket next = service(50)) {
            RecordsClient records = client(old);
            call(records, "a");
            records.changeAddress(address(next));
            FakeConnection connection = new FakeConnection(next.accept());
            loop.runNext(); // processes the new connection
            network.flush();
            assertThat(connection.readLine()).startsWith("OP a ");
            assertThat(connection.readBytes(1)).isEqualTo("\u0001");
            connection.send("a DONE 0\r\n\r\n");
            loop.runNext();
            assertThat(outcomes).containsExactly(CallOutcome.Status.SUCCEEDED);
            connection.close();
        } finally {
            for (Socket socket : pending) {
                socket.close();
            }
            network.stop();
        }
    }

    @Test
    void addressChangeLosesNeitherConnectingNorWrittenCalls() throws Exception {
        try (ServerSocket old = service(50);
                ServerSocket next = service(50)) {
            RecordsClient records = client(old);
            call(records, "written");
            FakeConnection first = new FakeConnection(old.accept());
            loop.runNext();
            network.flush();
            assertThat(first.readLine()).startsWith("OP written ");
            first.readBytes(1);
            call(records, "connecting");
            FakeConnection second = new FakeConnection(old.accept());
            loop.awaitPosted(1); // connected, but not yet processed on the event loop
            records.changeAddress(address(next));
            FakeConnection third = new FakeConnection(next.accept());
            loop.awaitPosted(2);
            loop.runPosted();
            network.flush();
            assertThat(third.readLine()).startsWith("OP connecting ");
            third.readBytes(1);
            assertThat(second.readLine()).isNull(); // closed without a call
            first.send("written DONE 0\r\n\r\n");
            third.send("connecting DONE 0\r\n\r\n");
            for (int i = 0; outcomes.size() < 2 && i < 10; i++) {
                loop.runNext();
            }
            assertThat(outcomes)
                    .containsExactly(CallOutcome.Status.SUCCEEDED, CallOutcome.Status.SUCCEEDED);
        } finally {
            network.stop();
        }
    }

    @Test
    void callWithoutARecordsServiceIsUnreachable() throws Exception {
        RecordsClient records = new RecordsClient(loop, network, null, 8);
        records.changeAddress(null);
        call(records, "a");
        loop.runNext();
        assertThat(outcomes).containsExactly(CallOutcome.Status.UNREACHABLE);
        network.stop();
    }

    /** Guards against memory that grows with calls that have ended, held until they time out. */
    @Test
    void endedCallLeavesNoTimer() {
        RecordsClient records = new RecordsClient(loop, network, null, 8);
        int timers = loop.timerCount();
        call(records, "ended");
        loop.runPosted();
        assertThat(outcomes).containsExactly(CallOutcome.Status.UNREACHABLE);
        call(records, "cancelled");
        records.cancel("cancelled");
        assertThat(loop.timerCount()).isEqualTo(timers);
        network.stop();
    }

    /** Guards against calls that end within their start, each making the next one. */
    @Test
    void callThatCannotBeMadeEndsAfterItsStartHasReturned() throws Exception {
        ServerSocket closed = service(1);
        closed.close();
        List<RecordsClient> clients =
                List.of(new RecordsClient(loop, network, null, 8), client(closed));
        for (RecordsClient records : clients) {
            outcomes.clear();
            call(records, "a");
            assertThat(outcomes).isEmpty();
            loop.runNext();
            assertThat(outcomes).containsExactly(CallOutcome.Status.UNREACHABLE);
        }
        network.stop();
    }

    @Test
    void brokenConnectionEndsTheCallAsResetAndARefusedOneAsUnreachable() throws Exception {
        ServerSocket service = service(50);
        RecordsClient records = client(service);
        call(records, "a");
        FakeConnection connection = new FakeConnection(service.accept());
        loop.runNext();
        network.flush();
        assertThat(connection.readLine()).startsWith("OP a ");
        service.close();
        connection.reset();
        for (int i = 0; outcomes.isEmpty() && i < 10; i++) {
            loop.runNext();
        }
        assertThat(outcomes).containsExactly(CallOutcome.Status.RESET);
        call(records, "b");
        for (int i = 0; outcomes.size() < 2 && i < 10; i++) {
            loop.runNext();
        }
        assertThat(outcomes)
                .containsExactly(CallOutcome.Status.RESET, CallOutcome.Status.UNREACHABLE);
        network.stop();
    }

    @Test
    void replyToACancelledCallIsNotTakenForAnotherCall() throws Exception {
        try (ServerSocket service = service(50)) {
            RecordsClient records = client(service);
            call(records, "a");
            FakeConnection first = new FakeConnection(service.accept());
            loop.runNext();
            network.flush();
            first.readLine();
            first.readBytes(1);
            first.send("a DONE 0\r\n\r\n");
            loop.awaitPosted(1); // the reply is read but not processed
            records.cancel("a");
            call(records, "b");
            FakeConnection second = new FakeConnection(service.accept());
            loop.runNext(); // processes the late reply
            assertThat(outcomes).isEmpty();
            assertThat(first.readLine()).isEqualTo("UNOP a");
            assertThat(first.readLine()).isNull();
            for (int i = 0; i < 2; i++) {
                loop.runNext(); // processes the close of the first and the connect of the second
            }
            network.flush();
            assertThat(second.readLine()).startsWith("OP b ");
            second.readBytes(1);
            second.send("b DONE 0\r\n\r\n");
            loop.runNext();
            assertThat(outcomes).containsExactly(CallOutcome.Status.SUCCEEDED);
        } finally {
            network.stop();
        }
    }
}
