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
 * The packaged program with small stand-ins for processor, records service and roster, written from
 * their page.
 */
final class Deployment implements AutoCloseable {
    final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    /** All of the log since the start, whatever was taken from it. */
    final List<String> said = new CopyOnWriteArrayList<>();

    final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    final FakeServices outside =
            new FakeServices("127.0.0.1", new int[3], heard::add, reports::add);
    final int port = freePort();
    private final Path config = Files.createTempFile("node", ".json");
    private final Path operator;
    private Process process;

    Deployment() throws IOException {
        this(json -> json);
    }

    Deployment(UnaryOperator<String> change) throws IOException {
        this(change, deployment -> {}, "exec sh deploy/serve.sh");
    }

    /**
     * With stand-ins that are told what to play before the server is there, and a shell's way to
     * start it.
     */
    Deployment(UnaryOperator<String> change, Consumer<Deployment> play, String command)
            throws IOException {
        configure(change);
        operator = null;
        play.accept(this);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        read(builder.start());
        await(log, "listens|ochretiller: ");
    }

    /**
     * With an operators' file, and stand-ins that are told what to play before the server is there.
     */
    Deployment(Path operator, Consumer<Deployment> play) throws IOException {
        configure(json -> json);
        this.operator = operator;
        play.accept(this);
        restart();
    }

    /** The server again, on the same address and the same files. */
    void restart() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("OPERATOR_FILE", operator.toString());
        read(builder.start());
        await(log, "listens|ochretiller: ");
    }

    /** The server on a disk that ends it at this point; it may not come to listen. */
    void start(String point) throws IOException {
        read(
                new ProcessBuilder(
                                "java",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                "target/ochretiller.jar:target/test-classes",
                                CrashingServer.class.getName(),
                                point,
                                config.toString(),
                                operator.toString())
                        .redirectErrorStream(true)
                        .start());
    }

    private void read(Process started) {
        process = started;
        log.clear();
        said.clear();
        heard.clear();
        DaemonThreads.start(
                () -> {
                    try (BufferedReader lines =
                            new BufferedReader(new InputStreamReader(started.getInputStream()))) {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            said.add(line);
                            log.add(line);
                        }
                    }
                });
    }

    /** SIGKILL, and the end of the process. */
    void kill() throws Exception {
        process.destroyForcibly().waitFor();
    }

    private void configure(UnaryOperator<String> change) throws IOException {
        Files.writeString(
                config,
                change.apply(
                        GatewayMessages.config(
                                port,
                                outside.processorPort(),
                                outside.recordsPort(),
                                outside.rosterPort())));
    }

    /** The stand-ins go on at new addresses, which the configuration's file now has. */
    void move(UnaryOperator<String> change) throws IOException {
        outside.move();
        configure(change);
    }

    static ServerSocket open() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    static int freePort() throws IOException {
        try (ServerSocket free = open()) {
            return free.getLocalPort();
        }
    }

    /** The program, served as operators do. */
    static Process start(Path config, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of("sh", "deploy/serve.sh"));
        if (!List.of(words).equals(List.of("serve"))) {
            command = new ArrayList<>(List.of("java", "-jar", "target/ochretiller.jar"));
            command.addAll(List.of(words));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("EDGE_CONFIG");
        if (config != null) {
            builder.environment().put("EDGE_CONFIG", config.toString());
        }
        return builder.start();
    }

    FakeConnection dial() throws IOException {
        return new FakeConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /**
     * The first entry that matches, others passed over; a failure after ten seconds without one.
     */
    static String await(BlockingQueue<String> queue, String pattern) {
        Pattern wanted = Pattern.compile(pattern);
        long until = System.nanoTime() + 10_000_000_000L;
        List<String> passed = new ArrayList<>();
        try {
            for (String next;
                    (next = queue.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS))
                            != null; ) {
                if (wanted.matcher(next).find()) {
                    return next;
                }
                passed.add(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError("no '" + pattern + "' among " + passed);
    }

    /** SIGTERM; the exit code follows from {@link #exit}. */
    void terminate() {
        process.toHandle().destroy();
    } // Process.destroy would close the log too

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    long pid() {
        return process.pid();
    }

    int exit() throws InterruptedException {
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new AssertionError("still runs");
        }
        return process.exitValue();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        outside.close();
        Files.delete(config);
    }
}
