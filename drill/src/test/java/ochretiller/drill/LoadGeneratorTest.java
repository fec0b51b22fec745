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

/** What callers note of their ends: an end that they miss would be held against the servers. */
class LoadGeneratorTest {
    private static final int SLOW_MS = 700;

    @TempDir private Path folder;

    /**
     * Every other connection is answered late, so that some are left behind by newer ones with
     * requests still open.
     */
    private static void answers(ServerSocket server) {
        AtomicInteger connections = new AtomicInteger();
        DaemonThreads.start(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        boolean slow = connections.getAndIncrement() % 2 == 0;
                        DaemonThreads.start(
                                () -> {
                                    try (FakeConnection wire = new FakeConnection(socket)) {
                                        for (String line = wire.line();
                                                line != null;
                                                line = wire.line()) {
                                            int at = line.indexOf("\"id\":") + 5;
                                            String id = line.substring(at, line.indexOf(',', at));
                                            if (slow) {
                                                Thread.sleep(SLOW_MS / 24);
                                            }
                                            wire.send(
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
    void allThatWasAskedHasItsEndNoted() throws Exception {
        History history = new History(System.nanoTime());
        ServerProcess box =
                new ServerProcess(
                        new FaultSchedule.Slot(1, "m1", 1, 1),
                        folder,
                        history,
                        (rid, operation, body) -> {});
        try (ServerSocket server =
                new ServerSocket(box.serves, 50, InetAddress.getLoopbackAddress())) {
            answers(server);
            box.up = true;
            for (int i = 0; i < 4; i++) {
                LoadGenerator load = new LoadGenerator(history, List.of(box), 800, i, false);
                load.start();
                Thread.sleep(300);
                load.end();
            }
        } finally {
            box.close();
        }
        List<String> asked = new ArrayList<>();
        List<String> answered = new ArrayList<>();
        for (History.Event event : history.all()) {
            if (event.what() == History.What.ASKED) {
                asked.add(event.id());
            }
            if (event.what() == History.What.ANSWERED && event.text().startsWith("succeeded")) {
                answered.add(event.id());
            }
        }
        assertThat(asked).hasSizeGreaterThan(100);
        assertThat(answered).hasSameSizeAs(asked);
        Set<String> ids = new HashSet<>(answered);
        assertThat(ids).containsAll(asked);
    }
}
