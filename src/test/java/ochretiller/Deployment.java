package ochretiller;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;

/**
 * The packaged program together with fakes of the processor, the records service and the registry,
 * which were written from the protocol documentation.
 */
final class Deployment implements AutoCloseable {
    private static final String PORT_IN_USE = "ochretiller: cannot listen on";
    private static final int MAX_STARTS = 3;

    final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    /** The complete log since the start, including lines already taken from {@link #log}. */
    final List<String> allLogLines = new CopyOnWriteArrayList<>();

    final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    final FakeServices services =
            new FakeServices("127.0.0.1", new int[3], received::add, reports::add);

    /** Address of the server; another one if a process has taken it before the server started. */
    int port = freePort();

    private final Path config = Files.createTempFile("node", ".json");
    private final Path operator;
    private Process process;

    Deployment() throws IOException {
        this(json -> json);
    }

    Deployment(UnaryOperator<String> configChange) throws IOException {
        this(configChange, deployment -> {}, "exec sh deploy/serve.sh");
    }

    /**
     * Starts the server with a shell command.
     *
     * @param configChange applied to the text of the default configuration
     * @param setUp called before the server starts, for example to prepare the fakes
     */
    Deployment(UnaryOperator<String> configChange, Consumer<Deployment> setUp, String command)
            throws IOException {
        configure(configChange);
        operator = null;
        setUp.accept(this);
        String startLine = startWith(command);
        for (int starts = 1; startLine.contains(PORT_IN_USE); starts++) {
            if (starts == MAX_STARTS) {
                throw new AssertionError("the server cannot listen: " + startLine);
            }
            port = freePort();
            configure(configChange);
            startLine = startWith(command);
        }
    }

    /** Starts the server with a shell command, and returns the line that ends its start. */
    private String startWith(String command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        readOutput(builder.start());
        return await(log, "listens|ochretiller: ");
    }

    /** Starts the server with an operators' file; {@code setUp} is called before the start. */
    Deployment(Path operator, Consumer<Deployment> setUp) throws IOException {
        configure(json -> json);
        this.operator = operator;
        setUp.accept(this);
        restart();
    }

    /** Starts the server again with the same address and files. */
    void restart() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("OPERATOR_FILE", operator.toString());
        readOutput(builder.start());
        await(log, "listens|ochretiller: ");
    }

    /** Starts the server so that it crashes at a disk operation, perhaps before it listens. */
    void start(String crashPoint) throws IOException {
        readOutput(
                new ProcessBuilder(
                                "java",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                "target/ochretiller.jar:target/test-classes",
                                CrashingServer.class.getName(),
                                crashPoint,
                                config.toString(),
                                operator.toString())
                        .redirectErrorStream(true)
                        .start());
    }

    private void readOutput(Process newProcess) {
        process = newProcess;
        log.clear();
        allLogLines.clear();
        received.clear();
        DaemonThreads.start(
                () -> {
                    try (BufferedReader lines =
                            new BufferedReader(
                                    new InputStreamReader(newProcess.getInputStream()))) {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            allLogLines.add(line);
                            log.add(line);
                        }
                    }
                });
    }

    /** Sends SIGKILL and waits until the process has exited. */
    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    private void configure(UnaryOperator<String> configChange) throws IOException {
        Files.writeString(
                config,
                configChange.apply(
                        GatewayMessages.config(
                                port,
                                services.processorPort(),
                                services.recordsPort(),
                                services.rosterPort())));
    }

    /** Moves the fakes to new addresses and writes these to the configuration file. */
    void moveServices(UnaryOperator<String> configChange) throws IOException {
        services.moveToNewPorts();
        configure(configChange);
    }

    static ServerSocket openServerSocket() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    static int freePort() throws IOException {
        try (ServerSocket free = openServerSocket()) {
            return free.getLocalPort();
        }
    }

    /** Starts the program: with the operators' script to serve, else directly with java. */
    static Process start(Path config, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of("sh", "deploy/serve.sh"));
        if (!List.of(arguments).equals(List.of("serve"))) {
            command = new ArrayList<>(List.of("java", "-jar", "target/ochretiller.jar"));
            command.addAll(List.of(arguments));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("EDGE_CONFIG");
        if (config != null) {
            builder.environment().put("EDGE_CONFIG", config.toString());
        }
        return builder.start();
    }

    FakeConnection connect() throws IOException {
        return new FakeConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /**
     * Takes entries until one contains a match, and returns it; fails after 10 s without a match.
     */
    static String await(BlockingQueue<String> queue, String pattern) {
        Pattern expected = Pattern.compile(pattern);
        long deadline = System.nanoTime() + 10_000_000_000L;
        List<String> skipped = new ArrayList<>();
        try {
            for (String next;
                    (next = queue.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS))
                            != null; ) {
                if (expected.matcher(next).find()) {
                    return next;
                }
                skipped.add(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError("no entry matches '" + pattern + "': " + skipped);
    }

    /** Sends SIGTERM. Process.destroy would also close the stream that the log is read from. */
    void terminate() {
        process.toHandle().destroy();
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Waits until the process exits, for at most 10 s, and returns its exit code. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new AssertionError("the process still runs after 10 s");
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        services.close();
        Files.delete(config);
    }
}
