package ochretiller.drill;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ochretiller.emulator.fleet.FaultSchedule;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeServices;
import ochretiller.fakes.GatewayMessages;

/** The packaged server in one slot of a scenario, with its own fake services; restartable. */
final class ServerProcess {
    private static final Pattern JOINED_LOG_LINE =
            Pattern.compile("(\\S+)/([0-9a-f]+) takes part in fleet");

    /** Low enough for two dozen servers and the drill itself on one machine. */
    private static final int MEMORY_MB = 64;

    private static final int BENCHMARK_MEMORY_MB = 256;

    /** Durations are shorter than in production to keep the drill short. */
    private static final String ROLLOUT_SETTINGS =
            ", versions: { folder: '%s', lease_ms: 2000, grace_ms: 3000, watch_ms: 3000,"
                    + " patience_ms: 4000 }";

    private static final int START_TIMEOUT_S = 40;

    /** The root of the repository, whose packaged server is started. */
    private static final Path ROOT =
            Path.of(System.getProperty("drill.root", ".")).toAbsolutePath();

    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 15_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

    final FaultSchedule.Slot slot;
    final int clientPort;
    private final Path folder;
    private final FakeServices services;
    private volatile History history;
    private Process process;
    private CountDownLatch readyLatch = new CountDownLatch(1);

    /** Log lines about the fleet; the server itself limits their number. */
    private final Queue<String> fleetLogLines = new ConcurrentLinkedQueue<>();

    /** The incarnation of the process, or its pid in hexadecimal if it is not in a fleet. */
    volatile String incarnation;

    volatile boolean ready;
    volatile boolean paused;
    volatile boolean leaving;

    /** Receives the action that completes a run; runs it at once by default. */
    volatile Consumer<Runnable> completionHandler = Runnable::run;

    /** Whether memory and entry limits are raised for a benchmark. */
    boolean benchmarkLimits;

    /** Additional JSON5 members of the operator file, each with a trailing comma. */
    String extraOperatorSettings = "";

    /** Whether configuration rollouts and the audit log are enabled. */
    boolean rolloutsEnabled;

    /** The claim mode of the next process: {@code fleet} or {@code server}. */
    volatile String claimMode = "fleet";

    /** Number of characters appended to each result. */
    volatile int resultPaddingChars;

    ServerProcess(
            FaultSchedule.Slot slot, Path folder, History history, FakeServices.RunHandler runs)
            throws IOException {
        this.slot = slot;
        this.folder = Files.createDirectories(folder.resolve("server-" + slot.number()));
        this.history = history;
        // These files may be left over from an earlier run in the same folder.
        Files.deleteIfExists(this.folder.resolve("voter"));
        Files.deleteIfExists(this.folder.resolve("peers"));
        DiskFaults.delete(this.folder.resolve("versions"));
        DiskFaults.delete(auditFolder());
        setDiskFault(null);
        DiskFaults.delete(storeFolder());
        DiskFaults.delete(imageFolder());
        this.clientPort = freePort();
        services = new FakeServices("127.0.0.1", new int[3], line -> {}, report -> {});
        services.runHandler =
                (rid, operation, body) -> {
                    runs.onBegin(rid, operation, body);
                    completionHandler.accept(
                            () -> {
                                try {
                                    services.complete(
                                            rid,
                                            "done "
                                                    + body
                                                    + " by "
                                                    + slot.number()
                                                    + " as "
                                                    + rid
                                                    + ".".repeat(resultPaddingChars));
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
                };
    }

    private Path storeFolder() {
        return folder.resolve("store");
    }

    private Path imageFolder() {
        return folder.resolve("image");
    }

    /** Copies the store while the server may be writing to it. */
    void takeImage() throws IOException {
        DiskFaults.delete(imageFolder());
        DiskFaults.copy(storeFolder(), imageFolder());
    }

    /**
     * Puts the store into the given state while the server is down. The voter file is kept, as if
     * it were on another disk.
     */
    void prepareDisk(FleetScenario.Disk disk) throws IOException {
        switch (disk) {
            case EMPTY -> DiskFaults.delete(storeFolder());
            case OLD -> {
                DiskFaults.delete(storeFolder());
                DiskFaults.copy(imageFolder(), storeFolder());
            }
            case CUT -> DiskFaults.truncate(storeFolder());
            default -> {}
        }
    }

    /** Returns the folder of the audit log. */
    Path auditFolder() {
        return folder.resolve("audit");
    }

    private Path diskFaultFile() {
        return folder.resolve("disk-fault");
    }

    /**
     * Sets the disk fault: {@code full} makes writes fail, {@code stall} makes them wait, null ends
     * the fault.
     */
    void setDiskFault(String fault) throws IOException {
        if (fault == null) {
            Files.deleteIfExists(diskFaultFile());
            return;
        }
        Path temporary = folder.resolve("disk-fault.tmp");
        Files.writeString(temporary, fault);
        Files.move(temporary, diskFaultFile(), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Records further events in {@code next}. */
    void setHistory(History next) {
        history = next;
    }

    /**
     * Returns a port that is free for TCP and UDP. Ephemeral ports are avoided, since an outgoing
     * connection could take one before the server listens on it.
     */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp =
                            new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                if (tcp.isBound() && udp.isBound()) {
                    return port;
                }
            } catch (BindException e) {
                // try the next port
            }
        }
        throw new IOException(
                "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /**
     * Starts the server process and returns without waiting until it is ready.
     *
     * @param listenPort its fleet port on the loopback address
     * @param advertisedPort the port at which the other servers reach it
     * @param seedPorts advertised ports of the seeds
     * @param fleetEnabled whether it joins a fleet
     * @param clockSetbackS seconds by which its clock is set back
     * @param voterCount how many of the first servers vote on epochs; 0 without replication
     * @param storeEnabled whether it stores results on disk
     */
    void start(
            int listenPort,
            int advertisedPort,
            List<Integer> seedPorts,
            int probeMs,
            boolean fleetEnabled,
            double clockSetbackS,
            int voterCount,
            boolean storeEnabled)
            throws IOException {
        Path configFile = folder.resolve("config.json");
        Files.writeString(
                configFile,
                GatewayMessages.config(
                                clientPort,
                                services.processorPort(),
                                services.recordsPort(),
                                services.rosterPort())
                        .replace("\"name\":\"n1\"", "\"name\":\"" + slot.name() + "\"")
                        .replace(
                                "\"memory_mb\":192",
                                "\"memory_mb\":"
                                        + (benchmarkLimits ? BENCHMARK_MEMORY_MB : MEMORY_MB))
                        .replace("\"keyKb\":10", "\"keyKb\":" + (benchmarkLimits ? 1 : 10))
                        .replace(
                                "\"windowNs\":10000000000",
                                "\"windowNs\":" + (benchmarkLimits ? 1 : 10) + "000000000"));
        Path keyFile = folder.resolve("key");
        Files.writeString(keyFile, "a key that only drills have\n");
        Path operatorFile = folder.resolve("operator.json5");
        List<String> seedAddresses = new ArrayList<>();
        for (int port : seedPorts) {
            seedAddresses.add("'127.0.0.1:" + port + "'");
        }
        String auditSettings =
                rolloutsEnabled
                        ? "audit: { folder: '" + auditFolder() + "', span_ms: 2000 }, "
                        : "";
        Files.writeString(
                operatorFile,
                "{ "
                        + auditSettings
                        + extraOperatorSettings
                        + " metrics: { file: '"
                        + folder.resolve("metrics.prom")
                        + "', every_ms: 1000 },"
                        + (storeEnabled ? "remember: { folder: '" + storeFolder() + "' }," : "")
                        + (fleetEnabled
                                ? """
                                fleet: { name: 'drill', listen: '127.0.0.1:%d', advertise: '127.0.0.1:%d', key_file: '%s', peers_file: '%s', seeds: [%s], zone: 'z%d', probe_ms: %d%s }
                                """
                                        .formatted(
                                                listenPort,
                                                advertisedPort,
                                                keyFile,
                                                folder.resolve("peers"),
                                                String.join(",", seedAddresses),
                                                slot.zone(),
                                                probeMs,
                                                replicationSettings(voterCount))
                                : "")
                        + ", drill: { clock_ms: "
                        + (long) (-clockSetbackS * 1000)
                        + ", disk_fault: '"
                        + diskFaultFile()
                        + "' } }");
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.directory(ROOT.toFile()).environment().put("OCHRETILLER_DRILL", "1");
        builder.environment().put("EDGE_CONFIG", configFile.toString());
        builder.environment().put("OPERATOR_FILE", operatorFile.toString());
        // The processor restarts together with the server: it then knows no earlier runs and
        // numbers its notices from the start.
        services.resendsNotices = true;
        if (process != null) {
            services.restartProcessor();
        }
        readyLatch = new CountDownLatch(1);
        Process newProcess = process = builder.start();
        CountDownLatch newReadyLatch = readyLatch;
        leaving = false;
        paused = false;
        DaemonThreads.start(
                () -> {
                    try (BufferedReader output =
                                    new BufferedReader(
                                            new InputStreamReader(newProcess.getInputStream()));
                            BufferedWriter log =
                                    Files.newBufferedWriter(
                                            folder.resolve("log-" + newProcess.pid()))) {
                        for (String line = output.readLine();
                                line != null;
                                line = output.readLine()) {
                            log.append(line).append('\n');
                            if (line.contains("fleet:")) {
                                fleetLogLines.add(line);
                            }
                            log.flush();
                            Matcher joined = JOINED_LOG_LINE.matcher(line);
                            boolean listening = !fleetEnabled && line.contains(" listens on ");
                            if (!joined.find() && !listening) {
                                continue;
                            }
                            incarnation =
                                    listening
                                            ? Long.toHexString(newProcess.pid())
                                            : joined.group(2);
                            ready = true;
                            history.add(
                                    History.EventType.STARTED,
                                    slot.number(),
                                    incarnation,
                                    slot.name());
                            newReadyLatch.countDown();
                        }
                    }
                });
    }

    private String replicationSettings(int voterCount) {
        if (voterCount == 0) {
            return "";
        }
        List<String> voters = new ArrayList<>();
        for (int i = 1; i <= voterCount; i++) {
            voters.add("'m" + i + "'");
        }
        return ", copies: { voters: ["
                + String.join(",", voters)
                + "], voter_file: '"
                + folder.resolve("voter")
                + "', calm_ms: 1500, "
                + (benchmarkLimits ? "most_entries: 100000, most_mb: 64, " : "")
                + "mode: '"
                + claimMode
                + "'"
                + (rolloutsEnabled ? ROLLOUT_SETTINGS.formatted(folder.resolve("versions")) : "")
                + " }";
    }

    /** Waits for a log line about the fleet that contains the pattern; false after the timeout. */
    boolean awaitLogLine(Pattern pattern, int timeoutS) throws InterruptedException {
        for (int i = 0; i < timeoutS * 20; i++) {
            if (fleetLogLines.stream().anyMatch(line -> pattern.matcher(line).find())) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Waits until the server has joined the fleet, or listens if it has none; false if late. */
    boolean awaitReady() throws InterruptedException {
        return readyLatch.await(START_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    void kill() throws InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        ready = false;
        history.add(History.EventType.KILLED, slot.number(), incarnation, "");
        process.destroyForcibly().waitFor();
        paused = false;
    }

    void pause() throws IOException, InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        paused = true;
        history.add(History.EventType.PAUSED, slot.number(), incarnation, "");
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        signal("CONT");
        history.add(History.EventType.RESUMED, slot.number(), incarnation, "");
        paused = false;
    }

    void leave() {
        if (process == null || !process.isAlive()) {
            return;
        }
        leaving = true;
        history.add(History.EventType.LEAVES, slot.number(), incarnation, "");
        Process exiting = process;
        exiting.toHandle().destroy();
        exiting.onExit()
                .thenRun(
                        () -> {
                            if (exiting != process) {
                                return;
                            }
                            ready = false;
                            history.add(History.EventType.ENDED, slot.number(), incarnation, "");
                        });
    }

    /** Waits at most 10 s for the exit of a process that was asked to leave. */
    void awaitExit() throws InterruptedException {
        if (process != null && process.isAlive() && leaving) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    void close() throws IOException {
        ready = false;
        if (process != null) {
            process.destroyForcibly();
        }
        services.close();
    }
}
