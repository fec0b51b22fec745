package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A temporary folder, the processes of one case, and their end. */
final class Lab implements AutoCloseable {
    final Path folder;
    private final List<Process> processes = new ArrayList<>();

    Lab() throws IOException {
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns a port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a server with the command of the deploy file, from the repository's root. */
    Process startServer(String name, String config, Path operatorFile, String listen) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", listen);
        builder.environment().put("TMPDIR", folder.toString());
        if (operatorFile != null) {
            builder.environment().put("OPERATOR_FILE", operatorFile.toString());
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Waits until the server answers a health check with good. */
    static void awaitReady(int port, Process server, World world, Record record) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end && server.isAlive()) {
            try (Gateway probe = new Gateway(0, port, world, record, over -> {})) {
                if (probe.ping().get(2, TimeUnit.SECONDS).line().contains("\"green\":true")) {
                    record.add("server is ready, pid " + server.pid());
                    return;
                }
            } catch (IOException | java.util.concurrent.TimeoutException e) {
                // not yet
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("the server did not get ready");
    }

    /** Appends a server's log to the record. */
    void copyLog(String name, Record record) throws IOException {
        Path log = folder.resolve(name + ".log");
        if (Files.exists(log)) {
            Files.readAllLines(log).forEach(line -> record.add("log of " + name + ": " + line));
        }
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
