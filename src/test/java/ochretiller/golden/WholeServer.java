package ochretiller.golden;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;
import ochretiller.node.ServerNode;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.store.LocalDirectory;
import ochretiller.store.StorageDirectory;

/** A server in this process with all optional features enabled, the only member of its fleet. */
final class WholeServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger("ochretiller");
    private static final long TIMEOUT_NS = 30_000_000_000L;

    final List<String> log = new CopyOnWriteArrayList<>();
    final int port = freePort();
    final int fleetPort = freePort();
    final Path config;
    final Path operator;
    final Path metrics;
    final Path store;
    final Path audit;
    final ServerNode node;
    private final Thread loop;
    private final FakeServices services;
    private final Handler handler =
            new Handler() {
                @Override
                public void publish(LogRecord entry) {
                    log.add(entry.getMessage());
                }

                @Override
                public void flush() {
                    // Log lines are not buffered.
                }

                @Override
                public void close() {
                    // No resources are held.
                }
            };
    private int requestCount;

    WholeServer(Path folder) throws Exception {
        this(folder, new LocalDirectory(folder.resolve("store")));
    }

    WholeServer(Path folder, StorageDirectory storage) throws Exception {
        store = folder.resolve("store");
        audit = folder.resolve("audit");
        // Not in the test's folder, because metrics are written until the process exits.
        metrics = Path.of("target", "whole-server-" + port + ".prom").toAbsolutePath();
        LOG.addHandler(handler);
        services = new FakeServices("127.0.0.1", new int[3], line -> {}, report -> {});
        services.runHandler = (rid, operation, body) -> services.complete(rid, "done");
        config =
                Files.writeString(
                        folder.resolve("config.json"),
                        GatewayMessages.config(
                                        port,
                                        services.processorPort(),
                                        services.recordsPort(),
                                        services.rosterPort())
                                .replace("\"stop_ms\":2000", "\"stop_ms\":500"));
        operator = Files.writeString(folder.resolve("operator.json5"), operator(folder));
        OperatorConfig operatorConfig = OperatorConfigReader.read(operator);
        node = ServerNode.builder(config).operator(operatorConfig).storage(storage).build();
        node.prepare();
        node.listen();
        loop = new Thread(node::run, "loop");
        loop.setDaemon(true);
        loop.start();
        await(() -> hasLogged("processor is available.*"));
    }

    private String operator(Path folder) throws IOException {
        Path key = Files.writeString(folder.resolve("key"), "a key that is long enough");
        return """
        { metrics: { file: '%5$s', every_ms: 100 },
          remember: { folder: '%1$s/store' },
          audit: { folder: '%1$s/audit' },
          uwsgi: { listen: '127.0.0.1:%2$d', routes: [ { path: '/read', operation: 'read' } ] },
          pools: { parts: { workers: [ '127.0.0.1:9' ], most_in_flight: 4,
            runs: [ { operation: 'read', path: '/read' } ] } },
          fleet: { name: 'parts', listen: '127.0.0.1:%3$d', key_file: '%4$s', zone: 'a',
            peers_file: '%1$s/peers',
            copies: { voters: [ 'n1' ], voter_file: '%1$s/voter', calm_ms: 500,
              versions: { folder: '%1$s/versions' } } } }
        """
                .formatted(folder, freePort(), fleetPort, key, metrics);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Waits until a condition is true; fails after 30 s. */
    static void await(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT_NS;
        while (!condition.call()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition is still false after the timeout");
            }
            Thread.sleep(20);
        }
    }

    boolean hasLogged(String pattern) {
        return log.stream().anyMatch(line -> line.matches(pattern));
    }

    FakeConnection connect() throws IOException {
        return new FakeConnection(new Socket("127.0.0.1", port));
    }

    /** Sends a keyed request and returns the response. */
    String sendOrder(FakeConnection gateway, String token) throws IOException {
        String rid = String.format("%016x", ++requestCount);
        String params = GatewayMessages.params(rid, token, "two bolts");
        return gateway.send(GatewayMessages.message(requestCount, "order", params)).readLine();
    }

    /** Repeats a keyed request until it succeeds, once the server has joined the fleet. */
    void runOrder(String token) throws Exception {
        try (FakeConnection gateway = connect()) {
            await(() -> sendOrder(gateway, token).contains("\"result\""));
        }
    }

    @Override
    public void close() throws IOException {
        try {
            node.drain();
            // drain waits at most stop_ms; on a busy machine the event loop ends later.
            loop.join(TIMEOUT_NS / 1_000_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the server was draining");
        } finally {
            services.close();
            LOG.removeHandler(handler);
        }
    }
}
