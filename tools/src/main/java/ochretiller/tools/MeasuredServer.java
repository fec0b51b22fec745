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

/** The packaged server with stand-ins round it, for a measurement. */
final class MeasuredServer implements AutoCloseable {
    final int port;
    final Process process;
    final FakeServices outside;

    /** Connections that ended, by their close codes. */
    final Map<String, Integer> ends = new ConcurrentHashMap<>();

    /**
     * Starts one.
     *
     * @param operator the operators' file, or null
     */
    MeasuredServer(Path operator, java.util.function.UnaryOperator<String> change)
            throws Exception {
        CountDownLatch linked = new CountDownLatch(1);
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
        outside.runs = (rid, operation, body) -> outside.complete(rid, "result of " + rid);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path config = Files.createTempFile("served", ".json");
        Files.writeString(
                config,
                change.apply(
                        GatewayMessages.config(
                                port,
                                outside.processorPort(),
                                outside.recordsPort(),
                                outside.rosterPort())));
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        if (operator != null) {
            builder.environment().put("OPERATOR_FILE", operator.toString());
        }
        process = builder.start();
        Thread reader =
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
                                        ends.merge(line.substring(at + 8), 1, Integer::sum);
                                    }
                                }
                            } catch (IOException e) {
                                // it has ended
                            }
                        });
        reader.setDaemon(true);
        reader.start();
        if (!linked.await(20, TimeUnit.SECONDS)) {
            throw new IOException("the server has not found its processor");
        }
    }

    /** Resident memory in KiB. */
    long residentKb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("no VmRSS");
    }

    /**
     * Seconds of CPU that the server has taken, of all its threads, from the kernel's hundredths.
     */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
    }

    long descriptors() throws IOException {
        try (var files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        outside.close();
    }
}
