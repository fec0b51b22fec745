package ochretiller;

import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
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
import org.junit.jupiter.api.io.TempDir;

/** Runs a server in this process, over sockets, on a disk whose faults a test controls. */
abstract class InProcessServerFixture {
    private static final OperatorConfig.Durability DURABILITY =
            new OperatorConfig.Durability(
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

    private static final OperatorConfig OPERATOR =
            new OperatorConfig(
                    false,
                    Optional.empty(),
                    Optional.of(DURABILITY),
                    Optional.empty(),
                    List.of(),
                    Optional.empty(),
                    Optional.empty(),
                    OperatorConfig.SimulatedFaults.NONE);

    /** The stack size with which {@code deploy/serve.sh} starts the server. */
    private static final long LOOP_STACK_BYTES = 256 << 10;

    @TempDir private Path folder;
    VolatileDirectory disk = new VolatileDirectory();
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private CountDownLatch processorConnected;
    FakeServices services;
    ServerNode node;
    FakeConnection gateway;
    int port;
    int lastRid;

    void start() throws Exception {
        startServices();
        node = ServerNode.builder(writeConfig()).operator(OPERATOR).storage(disk).build();
        node.prepare();
        node.listen();
        Thread loopThread = new Thread(null, node::run, "loop", LOOP_STACK_BYTES);
        loopThread.setDaemon(true);
        loopThread.start();
        assertThat(processorConnected.await(10, TimeUnit.SECONDS)).isTrue();
        gateway = new FakeConnection(new Socket("127.0.0.1", port));
    }

    private void startServices() throws IOException {
        processorConnected = new CountDownLatch(1);
        services =
                new FakeServices(
                        "127.0.0.1",
                        new int[3],
                        line -> {
                            if (line.equals("usage fence")) {
                                processorConnected.countDown();
                            }
                        },
                        report -> {});
        services.runHandler =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    services.complete(rid, "result of " + body);
                };
    }

    private Path writeConfig() throws IOException {
        try (ServerSocket unusedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedPort.getLocalPort();
        }
        String config =
                GatewayMessages.config(
                        port,
                        services.processorPort(),
                        services.recordsPort(),
                        services.rosterPort());
        return Files.writeString(
                folder.resolve("config.json"),
                config.replace("\"stop_ms\":2000", "\"stop_ms\":500"));
    }

    @AfterEach
    void stop() throws Exception {
        disk.fault = (diskOperation, name) -> {};
        gateway.close();
        node.drain();
        services.close();
        assertThat(runs.values()).as("runs of each request").allMatch(count -> count == 1);
    }

    String order(int token, String body) throws Exception {
        String rid = String.format("%016x", ++lastRid);
        gateway.send(
                message(
                        lastRid,
                        "order",
                        GatewayMessages.params(rid, String.format("%032x", token), body)));
        return gateway.readLine();
    }

    String read() throws Exception {
        String rid = String.format("%016x", ++lastRid);
        gateway.send(message(lastRid, "read", GatewayMessages.params(rid, null, "read " + rid)));
        return gateway.readLine();
    }
}
