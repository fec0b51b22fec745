package ochretiller.tools;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;

/** A process of the packaged server, connected to fake services, for measurements. */
final class MeasuredServer implements AutoCloseable {
    final int port;
    final Process process;
    final FakeServices fakeServices;

    /** How many connections the server has closed, by close code, from its log. */
    final Map<String, Integer> closeCodeCounts = new ConcurrentHashMap<>();

    /**
     * Starts a server and waits until it is connected to the fake processor.
     *
     * @param operatorFile the operator's configuration file, or null for none
     */
    MeasuredServer(Path operatorFile, java.util.function.UnaryOperator<String> configEditor)
            throws Exception {
        CountDownLatch connected = new CountDownLatch(1);
        fakeServices =
                new FakeServices(
                        "127.0.0.1",
                        new int[3],
                        line -> {
                            if (line.equals("usage fence")) {
                                connected.countDown();
                            }
                        },
                        report -> {});
        fakeServices.runHandler =
                (rid, operation, body) -> fakeServices.complete(rid, "result of " + rid);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path configFile = Files.createTempFile("served", ".json");
        Files.writeString(
                configFile,
                configEditor.apply(
                        GatewayMessages.config(
                                port,
                                fakeServices.processorPort(),
                                fakeServices.recordsPort(),
                                fakeServices.rosterPort())));
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", configFile.toString());
        if (operatorFile != null) {
            builder.environment().put("OPERATOR_FILE", operatorFile.toString());
        }
        process = builder.start();
        Thread logReader =
                new Thread(
                        () -> {
                            try (BufferedReader lines =
                                    new BufferedReader(
                                            new InputStreamReader(process.getInputStream()))) {
                                for (String line = lines.readLine();
                                        line != null;
                                        line = lines.readLine()) {
                                    int at = line.indexOf(" ended: ");
                                    if (at > 0) {
                                        closeCodeCounts.merge(
                                                line.substring(at + 8), 1, Integer::sum);
                                    }
                                }
                            } catch (IOException e) {
                                // the server has exited
                            }
                        });
        logReader.setDaemon(true);
        logReader.start();
        if (!connected.await(20, TimeUnit.SECONDS)) {
            throw new IOException("the server did not connect to the fake processor within 20 s");
        }
    }

    /** Returns the resident memory of the server process in KiB. */
    long residentKb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("/proc status of the server process has no VmRSS line");
    }

    /**
     * Returns the CPU seconds that all threads of the server have used, in steps of 0.01 s, as the
     * kernel counts them.
     */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
    }

    long openDescriptors() throws IOException {
        try (var files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        fakeServices.close();
    }
}
