package ochretiller.commands;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;
import ochretiller.node.LoggingSetup;
import ochretiller.node.ServerNode;
import ochretiller.node.ServerNodeBuilder;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.store.LocalDirectory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Demonstrates a server without anything else installed: the processor, the records service and the
 * roster are fakes in this process.
 */
@Command(
        name = "try",
        description = {
            "Serve on free loopback ports with stand-ins of the processor, the records service and"
                + " the roster inside; send a keyed request and its repeat, show both answers, and"
                + " serve until Ctrl-C."
        },
        mixinStandardHelpOptions = true)
public final class TryCommand implements Callable<Integer> {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    @Option(
            names = "--remember",
            paramLabel = "DIR",
            description =
                    "Keep results in this folder, so that a repeat is answered from it behind a"
                            + " kill.")
    private Path folder;

    @Option(
            names = "--port",
            paramLabel = "<port>",
            description = "Where to listen; a free port by default.")
    private int port;

    @Option(names = "--once", description = "End behind the two answers.")
    private boolean once;

    @Option(names = "--log", description = "Show the server's log.")
    private boolean log;

    private final AtomicInteger runs = new AtomicInteger();

    @Override
    public Integer call() throws IOException, InterruptedException {
        LoggingSetup.install();
        if (!log) {
            Logger.getLogger("").setLevel(Level.WARNING);
        }
        int listenPort = port != 0 ? port : freePort();
        CountDownLatch linkLatch = new CountDownLatch(1);
        FakeServices services =
                new FakeServices(
                        "127.0.0.1",
                        new int[3],
                        line -> {
                            if (line.equals("usage fence")) {
                                linkLatch.countDown();
                            }
                        },
                        report -> {});
        services.runHandler =
                (rid, operation, body) ->
                        services.complete(
                                rid,
                                "done by run "
                                        + runs.incrementAndGet()
                                        + " of "
                                        + ProcessHandle.current().pid());
        Path configFile = Files.createTempFile("ochretiller-try", ".json");
        Files.writeString(
                configFile,
                GatewayMessages.config(
                                listenPort,
                                services.processorPort(),
                                services.recordsPort(),
                                services.rosterPort())
                        .replace("\"windowNs\":10000000000", "\"windowNs\":600000000000"));
        configFile.toFile().deleteOnExit();
        OperatorConfig operatorConfig = createOperatorConfig();
        ServerNodeBuilder builder = ServerNode.builder(configFile).operator(operatorConfig);
        operatorConfig
                .durability()
                .ifPresent(remember -> builder.storage(new LocalDirectory(remember.folder())));
        ServerNode node = builder.build();
        node.prepare();
        node.listen();
        Thread serverThread =
                new Thread(
                        () -> {
                            node.run();
                        },
                        "loop");
        serverThread.start();
        if (!linkLatch.await(10, TimeUnit.SECONDS)) {
            throw new IOException(
                    "the server has not linked to the stand-in processor within 10 s");
        }
        demonstrate(listenPort);
        if (!once) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node)));
            serverThread.join();
        } else {
            drain(node);
        }
        return 0;
    }

    private static void drain(ServerNode node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private OperatorConfig createOperatorConfig() throws IOException {
        if (folder == null) {
            return OperatorConfig.NONE;
        }
        Path file = Files.createTempFile("ochretiller-try", ".json5");
        String quotedFolder =
                folder.toAbsolutePath().toString().replace("\\", "\\\\").replace("'", "\\'");
        Files.writeString(file, "{ remember: { folder: '" + quotedFolder + "' } }");
        try {
            return OperatorConfigReader.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void demonstrate(int listenPort) throws IOException {
        System.out.println(
                "serves on 127.0.0.1:"
                        + listenPort
                        + "; its processor, records service and roster are stand-ins here");
        try (FakeConnection gateway = new FakeConnection(new Socket("127.0.0.1", listenPort))) {
            for (int id = 1; id <= 2; id++) {
                String rid = String.format("%08x%08x", (int) System.nanoTime(), id);
                String request =
                        GatewayMessages.message(
                                id, "order", GatewayMessages.params(rid, TOKEN, "two bolts, M8"));
                System.out.println(
                        (id == 1 ? "a keyed request:   " : "its repeat:        ") + request.trim());
                String answer = gateway.send(request).readLine();
                System.out.println("the answer:        " + answer);
                System.out.println("the run's result:  " + decodeResult(answer));
            }
        }
        System.out.println("runs of the processor here: " + runs.get());
        // The shell fills in the time of sending: a request older than its client's timeout is
        // rejected before it runs.
        String command =
                GatewayMessages.message(
                                1, "order", GatewayMessages.params("$R", 0, "$R$R", "by hand"))
                        .trim()
                        .replace("\"", "\\\"")
                        .replace("\"t0\\\":0", "\"t0\\\":$(date +%s%3N)");
        System.out.println("by hand, twice the same for a replay:");
        System.out.println(
                "  R=00000000000000aa; echo \"" + command + "\" | nc -q1 127.0.0.1 " + listenPort);
        System.out.println(once ? "ends" : "Ctrl-C ends it");
    }

    private static String decodeResult(String answer) {
        String prefix = "\"data\":\"";
        int index = answer == null ? -1 : answer.indexOf(prefix);
        if (index < 0) {
            return "none";
        }
        int from = index + prefix.length();
        return new String(
                java.util.Base64.getDecoder()
                        .decode(answer.substring(from, answer.indexOf('"', from))));
    }
}
