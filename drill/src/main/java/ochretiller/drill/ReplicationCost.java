package ochretiller.drill;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/**
 * Measures the cost of replication: the latency of keyed and idempotent invocations with replicas
 * on disk, with replicas in memory and without replication.
 */
final class ReplicationCost {
    /** Size of a sealed claim and of its answer, which the echo measurement sends as well. */
    private static final int PACKET_BYTES = 300;

    private static final int WARMUP_S = 3;

    /** The setup that is measured. */
    enum Kind {
        /** No replication. */
        NONE,
        /** Replicas in memory. */
        MEMORY,
        /** Replicas on disk. */
        DISK,
        /** On disk, with all packets from the last server delayed. */
        SLOW,
        /** On disk, the first server cut off from all others; only its clients are measured. */
        MINORITY;

        boolean isReplicated() {
            return this != NONE;
        }

        boolean usesDisk() {
            return this != NONE && this != MEMORY;
        }
    }

    /**
     * @param clientsPerServer clients of each server; half of them send keyed invocations, half
     *     idempotent ones
     * @param pauseMs pause between two invocations of a client
     * @param throughProxy whether the fault proxy is used even for setups without network faults
     * @param slowMs delay of packets from the slow replica
     */
    record Workload(
            int members,
            int clientsPerServer,
            int seconds,
            int pauseMs,
            boolean throughProxy,
            double slowMs) {}

    private final Workload workload;
    private final Consumer<String> progress;

    ReplicationCost(Workload workload, Consumer<String> progress) {
        this.workload = workload;
        this.progress = progress;
    }

    /** A thread-safe list of latencies. */
    private static final class Latencies {
        private final List<Long> micros = new ArrayList<>();

        synchronized void add(long nanos) {
            micros.add(nanos / 1000);
        }

        synchronized double percentileMs(double percentile) {
            long[] sorted = micros.stream().mapToLong(Long::longValue).sorted().toArray();
            return sorted.length == 0
                    ? Double.NaN
                    : sorted[(int) Math.min(sorted.length - 1, sorted.length * percentile / 100)]
                            / 1e3;
        }

        synchronized int count() {
            return micros.size();
        }
    }

    /**
     * Runs the load on one setup and returns its CSV row, with the columns of {@link #CSV_HEADER}.
     */
    String measure(Path folder, Kind kind) throws Exception {
        int members = workload.members;
        String incidents =
                kind == Kind.SLOW
                        ? ", incidents: [ { at_s: 0, for_s: 900, what: 'delay', from: '"
                                + members
                                + "', strength: "
                                + workload.slowMs
                                + " } ]"
                        : "";
        FleetScenario scenario =
                FleetScenarioReader.parse(
                        "{ name: 'cost', seconds: 1000, members: "
                                + members
                                + ", zones: 3, seeds: 3, copies: true, store: "
                                + kind.usesDisk()
                                + incidents
                                + " }",
                        "cost");
        Latencies keyedLatencies = new Latencies();
        Latencies throttledLatencies = new Latencies();
        Latencies readLatencies = new Latencies();
        Latencies echoLatencies = new Latencies();
        Latencies handoverLatencies = new Latencies();
        AtomicLong refusedCount = new AtomicLong();
        boolean isolateFirst = kind == Kind.MINORITY;
        boolean useProxy = workload.throughProxy || isolateFirst || kind == Kind.SLOW;
        try (ScenarioRunner runner =
                new ScenarioRunner(scenario, 1, folder, true, kind.isReplicated(), progress)) {
            if (!useProxy) {
                runner.bypassProxy();
            }
            runner.useBenchmarkLimits();
            runner.startServers((slot, body) -> {});
            if (isolateFirst) {
                runner.isolate(Set.of(1));
            }
            AtomicInteger counter = new AtomicInteger();
            long startNanos = System.nanoTime() + WARMUP_S * 1_000_000_000L;
            long endNanos = startNanos + workload.seconds * 1_000_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < workload.clientsPerServer * members; i++) {
                int slot = 1 + i % members;
                boolean keyed = i / members % 2 == 0;
                // Measures how a slow replica affects other servers, not its own clients.
                if (isolateFirst && slot != 1 || kind == Kind.SLOW && slot == members) {
                    continue;
                }
                threads.add(
                        startThread(
                                () -> {
                                    try (FakeConnection connection =
                                            new FakeConnection(
                                                    new Socket(
                                                            InetAddress.getLoopbackAddress(),
                                                            runner.server(slot).clientPort))) {
                                        while (System.nanoTime() < endNanos) {
                                            int number = counter.incrementAndGet();
                                            long sentNanos = System.nanoTime();
                                            connection.send(
                                                    GatewayMessages.message(
                                                            number,
                                                            keyed ? "order" : "read",
                                                            GatewayMessages.params(
                                                                    String.format("%016x", number),
                                                                    keyed
                                                                            ? String.format(
                                                                                    "%032x", number)
                                                                            : null,
                                                                    "b" + number)));
                                            String line = connection.readLine();
                                            if (line == null) {
                                                return;
                                            }
                                            if (sentNanos >= startNanos) {
                                                if (line.contains("\"result\"")) {
                                                    (keyed ? keyedLatencies : readLatencies)
                                                            .add(System.nanoTime() - sentNanos);
                                                } else if (keyed && line.contains("-32014")) {
                                                    throttledLatencies.add(
                                                            System.nanoTime() - sentNanos);
                                                } else {
                                                    refusedCount.incrementAndGet();
                                                }
                                            }
                                            if (workload.pauseMs > 0) {
                                                Thread.sleep(workload.pauseMs);
                                            }
                                        }
                                    }
                                }));
            }
            threads.add(startThread(() -> measureEcho(echoLatencies, startNanos, endNanos, false)));
            threads.add(
                    startThread(() -> measureEcho(handoverLatencies, startNanos, endNanos, true)));
            for (Thread thread : threads) {
                thread.join((WARMUP_S + workload.seconds + 15) * 1000L);
            }
            Thread.sleep(1_500); // metrics files are written every second
            double forces = 0;
            double records = 0;
            double claimP50Ms = 0;
            double claimP99Ms = 0;
            for (int i = 1; i <= members; i++) {
                Path metricsFile = folder.resolve("server-" + i).resolve("metrics.prom");
                forces += readMetric(metricsFile, "ochretiller_store_forces_total");
                records += readMetric(metricsFile, "ochretiller_store_records_total");
                claimP50Ms += readMetric(metricsFile, "fleet_claim_p50_seconds") * 1e3 / members;
                claimP99Ms =
                        Math.max(
                                claimP99Ms,
                                readMetric(metricsFile, "fleet_claim_p99_seconds") * 1e3);
            }
            return String.format(
                    Locale.ROOT,
                    "%d,%s,%d,%d,%.0f,%.2f,%.2f,%.2f,%d,%.2f,%.2f,%.0f,%.2f,%.2f,%.2f,%.2f,%.3f,%.3f,%.3f,%.3f,%.1f,%d",
                    members,
                    kind.name().toLowerCase(Locale.ROOT),
                    workload.clientsPerServer * members,
                    workload.pauseMs,
                    keyedLatencies.count() / (double) workload.seconds,
                    keyedLatencies.percentileMs(50),
                    keyedLatencies.percentileMs(99),
                    keyedLatencies.percentileMs(99.9),
                    throttledLatencies.count(),
                    throttledLatencies.percentileMs(50),
                    throttledLatencies.percentileMs(99),
                    readLatencies.count() / (double) workload.seconds,
                    readLatencies.percentileMs(50),
                    readLatencies.percentileMs(99),
                    claimP50Ms,
                    claimP99Ms,
                    echoLatencies.percentileMs(50),
                    echoLatencies.percentileMs(99),
                    handoverLatencies.percentileMs(50),
                    handoverLatencies.percentileMs(99),
                    forces == 0 ? 0 : records / forces,
                    refusedCount.get());
        }
    }

    static final String CSV_HEADER =
            "servers,copies,callers,pause ms,keyed a second,keyed p50 ms,keyed p99 ms,keyed p99.9"
                + " ms,throttled,throttled p50 ms,throttled p99 ms,idempotent a second,idempotent"
                + " p50 ms,idempotent p99 ms,claim p50 ms (mean of servers),claim p99 ms (worst"
                + " server),bare round trip p50 ms,bare p99 ms,handed over p50 ms,handed over p99"
                + " ms,records a force,refused";

    private interface Task {
        void run() throws Exception;
    }

    private static Thread startThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // missing invocations show up in the counts of the row
                            }
                        },
                        "cost");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Measures UDP round trips of packets as large as a claim while the load runs.
     *
     * @param handOver whether each end passes packets to another thread, as a server's reader
     *     passes them to its event loop
     */
    private static void measureEcho(
            Latencies latencies, long startNanos, long endNanos, boolean handOver)
            throws IOException, InterruptedException {
        try (DatagramSocket client = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket server = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            BlockingQueue<DatagramPacket> requests = new LinkedBlockingQueue<>();
            BlockingQueue<DatagramPacket> replies = new LinkedBlockingQueue<>();
            DaemonThreads.start(
                    () -> {
                        while (!server.isClosed()) {
                            DatagramPacket packet =
                                    new DatagramPacket(new byte[PACKET_BYTES], PACKET_BYTES);
                            server.receive(packet);
                            if (handOver) {
                                requests.add(packet);
                            } else {
                                server.send(packet);
                            }
                        }
                    });
            if (handOver) {
                DaemonThreads.start(
                        () -> {
                            while (!server.isClosed()) {
                                server.send(requests.take());
                            }
                        });
            }
            client.setSoTimeout(1_000);
            if (handOver) {
                DaemonThreads.start(
                        () -> {
                            while (!client.isClosed()) {
                                DatagramPacket packet =
                                        new DatagramPacket(new byte[PACKET_BYTES], PACKET_BYTES);
                                client.receive(packet);
                                replies.add(packet);
                            }
                        });
            }
            DatagramPacket packet =
                    new DatagramPacket(
                            new byte[PACKET_BYTES],
                            PACKET_BYTES,
                            InetAddress.getLoopbackAddress(),
                            server.getLocalPort());
            while (System.nanoTime() < endNanos) {
                long sentNanos = System.nanoTime();
                client.send(packet);
                if (handOver) {
                    replies.poll(1, TimeUnit.SECONDS);
                } else {
                    client.receive(new DatagramPacket(new byte[PACKET_BYTES], PACKET_BYTES));
                }
                if (sentNanos > startNanos) {
                    latencies.add(System.nanoTime() - sentNanos);
                }
                Thread.sleep(5);
            }
        }
    }

    private static double readMetric(Path metricsFile, String name) throws IOException {
        return Files.exists(metricsFile)
                ? Files.readAllLines(metricsFile).stream()
                        .filter(line -> line.startsWith(name + " "))
                        .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                        .findFirst()
                        .orElse(0)
                : 0;
    }
}
