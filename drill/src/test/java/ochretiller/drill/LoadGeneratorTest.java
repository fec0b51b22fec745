package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.emulator.fleet.FaultSchedule;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against outcomes that go unrecorded, which a drill would count as server failures. */
class LoadGeneratorTest {
    private static final int SLOW_MS = 700;

    @TempDir private Path folder;

    /**
     * Answers slowly on every second connection, so that some connections are retired with requests
     * still open.
     */
    private static void serveRequests(ServerSocket listener) {
        AtomicInteger connections = new AtomicInteger();
        DaemonThreads.start(
                () -> {
                    while (!listener.isClosed()) {
                        Socket socket = listener.accept();
                        boolean slow = connections.getAndIncrement() % 2 == 0;
                        DaemonThreads.start(
                                () -> {
                                    try (FakeConnection connection = new FakeConnection(socket)) {
                                        for (String line = connection.readLine();
                                                line != null;
                                                line = connection.readLine()) {
                                            int pos = line.indexOf("\"id\":") + 5;
                                            String id = line.substring(pos, line.indexOf(',', pos));
                                            if (slow) {
                                                Thread.sleep(SLOW_MS / 24);
                                            }
                                            connection.send(
                                                    "{\"jsonrpc\":\"2.0\",\"id\":"
                                                            + id
                                                            + ",\"result\":{\"data\":\"\"}}\n");
                                        }
                                    }
                                });
                    }
                });
    }

    @Test
    void recordsOneOutcomeForEachRequest() throws Exception {
        History history = new History(System.nanoTime());
        ServerProcess server =
                new ServerProcess(
                        new FaultSchedule.Slot(1, "m1", 1, 1),
                        folder,
                        history,
                        (rid, operation, body) -> {});
        try (ServerSocket listener =
                new ServerSocket(server.clientPort, 50, InetAddress.getLoopbackAddress())) {
            serveRequests(listener);
            server.ready = true;
            for (int i = 0; i < 4; i++) {
                LoadGenerator load = new LoadGenerator(history, List.of(server), 800, i, false);
                load.start();
                Thread.sleep(300);
                load.stop();
            }
        } finally {
            server.close();
        }
        List<String> sent = new ArrayList<>();
        List<String> succeeded = new ArrayList<>();
        for (History.Event event : history.snapshot()) {
            if (event.what() == History.EventType.ASKED) {
                sent.add(event.id());
            }
            if (event.what() == History.EventType.ANSWERED
                    && event.text().startsWith("succeeded")) {
                succeeded.add(event.id());
            }
        }
        assertThat(sent).hasSizeGreaterThan(100);
        assertThat(succeeded).hasSameSizeAs(sent);
        Set<String> succeededIds = new HashSet<>(succeeded);
        assertThat(succeededIds).containsAll(sent);
    }
}
