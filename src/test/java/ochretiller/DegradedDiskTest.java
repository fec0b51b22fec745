package ochretiller;

import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;
import ochretiller.node.ServerNode;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.VolatileDirectory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A server in this process, over sockets, on a disk that stalls, fills and fails by script. */
class DegradedDiskTest {
    private static final OperatorConfig.Remember REMEMBER =
            new OperatorConfig.Remember(
                    Path.of("unused"),
                    1_000,
                    1 << 20,
                    64 << 10,
                    Duration.ofDays(1),
                    1 << 20,
                    Duration.ofMillis(600),
                    Duration.ofMillis(300),
                    Duration.ofMillis(150),
                    Duration.ofMillis(50),
                    Duration.ofMillis(100));
    @TempDir private Path folder;
    private VolatileDirectory disk = new VolatileDirectory();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private CountDownLatch linked;
    private FakeServices outside;
    private ServerNode node;
    private FakeConnection gateway;
    private int rids;

    private void start() throws Exception {
        linked = new CountDownLatch(1);
        outside =
                new FakeServices(
                        "127.0.0.1",
                        new int[3],
                        line -> {
                            if (line.equals("usage fence")) {
                                linked.countDown();
                            }
                        },
                        report -> {});
        outside.runs =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    outside.complete(rid, "result of " + body);
                };
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path config =
                Files.writeString(
                        folder.resolve("config.json"),
                        GatewayMessages.config(
                                        port,
                                        outside.processorPort(),
                                        outside.recordsPort(),
                                        outside.rosterPort())
                                .replace("\"stop_ms\":2000", "\"stop_ms\":500"));
        OperatorConfig operator =
                new OperatorConfig(
                        false,
                        Optional.empty(),
                        Optional.of(REMEMBER),
                        Optional.empty(),
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        OperatorConfig.Drill.NONE);
        node = ServerNode.builder(config).operator(operator).storage(disk).build();
        node.prepare();
        node.listen();
        Thread loop = new Thread(node::run, "loop");
        loop.setDaemon(true);
        loop.start();
        assertThat(linked.await(10, TimeUnit.SECONDS)).isTrue();
        gateway = new FakeConnection(new Socket("127.0.0.1", port));
    }

    @AfterEach
    void stop() throws Exception {
        disk.fault = (operation, name) -> {};
        gateway.close();
        node.drain();
        outside.close();
        assertThat(runs.values()).as("runs of each request").allMatch(count -> count == 1);
    }

    private String ask(int token, String body) throws Exception {
        String rid = String.format("%016x", ++rids);
        gateway.send(
                message(
                        rids,
                        "order",
                        GatewayMessages.params(rid, String.format("%032x", token), body)));
        return gateway.line();
    }

    private String read() throws Exception {
        String rid = String.format("%016x", ++rids);
        gateway.send(message(rids, "read", GatewayMessages.params(rid, null, "read " + rid)));
        return gateway.line();
    }

    private static String result(String body) {
        return "\"result\":{\"data\":\"" + GatewayMessages.base64("result of " + body) + "\"";
    }

    /**
     * Asks until it is no longer throttled; a time-out of the socket ends it where that never
     * comes.
     */
    private String askUntilServed(int token, String body) throws Exception {
        String answer = ask(token, body);
        for (int tries = 0; answer.contains("-32014") && tries < 200; tries++) {
            Thread.sleep(20); // as a client does that heeds the word when to return
            answer = ask(token, body);
        }
        return answer;
    }

    @ParameterizedTest
    @CsvSource({
        "force,Input/output error",
        "write,No space left on device",
        "write,Read-only file system"
    })
    void keyedWorkIsThrottledUnrunAndOtherWorkGoesOnUntilTheDiskIsWell(
            String operation, String message) throws Exception {
        start();
        assertThat(ask(1, "before")).contains(result("before"));
        disk.fault =
                (what, name) -> {
                    if (what.equals(operation) || what.equals("create")) {
                        throw new java.io.IOException(message);
                    }
                };
        for (int i = 0; i < 5; i++) {
            assertThat(ask(2, "meanwhile")).contains("-32014").contains("\"backoff\":");
            assertThat(read()).contains("\"result\"");
            assertThat(ask(1, "before"))
                    .contains(result("before")); // a repeat needs nothing of the disk
        }
        assertThat(runs).doesNotContainKey("meanwhile");
        disk.fault = (what, name) -> {};
        assertThat(askUntilServed(2, "meanwhile")).contains(result("meanwhile"));
        assertThat(ask(2, "meanwhile")).contains(result("meanwhile"));
    }

    @Test
    void markThatStallsIsGivenUpUnrunAndItsLateRecordStopsNoRepeat() throws Exception {
        start();
        ask(1, "before");
        CountDownLatch go = new CountDownLatch(1);
        disk.fault = VolatileDirectory.stalling("force", go);
        long began = System.nanoTime();
        assertThat(ask(2, "slow")).contains("-32014").contains("\"backoff\":");
        assertThat(System.nanoTime() - began)
                .isLessThan(2_000_000_000L); // its client waits for four seconds
        assertThat(ask(3, "behind")).as("stalled by now").contains("-32014");
        assertThat(read()).contains("\"result\"");
        disk.fault = (what, name) -> {};
        go.countDown();
        assertThat(askUntilServed(2, "slow")).contains(result("slow"));
        assertThat(askUntilServed(3, "behind")).contains(result("behind"));
    }

    @Test
    void answerLeavesOnTimeThoughItsResultIsNotDurableAndTheMarkStands() throws Exception {
        start();
        CountDownLatch go = new CountDownLatch(1);
        outside.runs =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    disk.fault =
                            VolatileDirectory.stalling(
                                    "force",
                                    go); // the mark is durable, and nothing behind it will be
                    outside.complete(rid, "result of " + body);
                };
        assertThat(ask(1, "run")).contains(result("run"));
        assertThat(ask(1, "run")).contains(result("run"));
        VolatileDirectory left = disk.afterPowerLoss(new java.util.SplittableRandom(4));
        go.countDown();
        gateway.close();
        node.drain();
        outside.close();
        disk = left;
        start();
        assertThat(ask(1, "run")).containsAnyOf(result("run"), "-32000");
    }

    @Test
    void resultThatASickDiskDidNotTakeIsKeptOnceItIsWell() throws Exception {
        start();
        outside.runs =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    if (body.equals("run")) {
                        disk.fault = VolatileDirectory.failing("force", "Input/output error");
                    }
                    outside.complete(rid, "result of " + body);
                };
        assertThat(ask(1, "run")).contains(result("run"));
        assertThat(ask(2, "next")).contains("-32014");
        disk.fault = (what, name) -> {};
        assertThat(askUntilServed(2, "next")).contains(result("next"));
        assertThat(askUntilServed(3, "last"))
                .contains(result("last")); // forced behind what was caught up with
        VolatileDirectory left = disk.afterProcessKill();
        gateway.close();
        node.drain();
        outside.close();
        disk = left;
        start();
        assertThat(ask(1, "run")).contains(result("run"));
    }

    @Test
    void diskThatCannotBeWrittenAtTheStartThrottlesKeyedWorkOnly() throws Exception {
        disk.fault = VolatileDirectory.failing("create", "Read-only file system");
        start();
        assertThat(ask(1, "early")).contains("-32014");
        assertThat(read()).contains("\"result\"");
        disk.fault = (what, name) -> {};
        assertThat(askUntilServed(1, "early")).contains(result("early"));
    }

    @Test
    void fullStoreThrottlesNewKeysUnrunAndLiveOnesStay() throws Exception {
        start();
        int served = 0;
        String answer = "\"result\"";
        while (answer.contains("\"result\"") && served < 2_000) {
            answer = ask(++served, "k" + served);
        }
        assertThat(answer).contains("-32014").contains("\"backoff\":");
        assertThat(served)
                .isBetween(
                        700, 900); // seven eighths of a thousand entries, the memory's part aside
        assertThat(runs).doesNotContainKey("k" + served);
        assertThat(ask(1, "k1")).contains(result("k1"));
        assertThat(read()).contains("\"result\"");
    }

    @Test
    void damageThrottlesNewKeysForAsLongAsAHiddenMarkCouldLive() throws Exception {
        start();
        assertThat(ask(1, "before")).contains(result("before"));
        Map<String, byte[]> files = disk.contents();
        gateway.close();
        node.drain();
        outside.close();
        files.values()
                .forEach(
                        bytes -> {
                            if (bytes.length > 200) {
                                bytes[120] ^= 1; // within the first record
                            }
                        });
        disk = VolatileDirectory.withContents(files);
        start();
        assertThat(ask(2, "new")).contains("-32014");
        assertThat(read()).contains("\"result\"");
        assertThat(ask(1, "before")).containsAnyOf(result("before"), "-32014");
    }
}
