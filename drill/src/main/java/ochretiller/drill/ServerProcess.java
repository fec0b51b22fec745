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

/** One slot: a packaged server with stand-ins of its own, started as often as the script says. */
final class ServerProcess {
    private static final Pattern PART = Pattern.compile("(\\S+)/([0-9a-f]+) takes part in fleet");

    /** Two dozen servers fit the machine beside what they are drilled with. */
    private static final int MEMORY_MB = 64;

    private static final int LOAD_MB = 256;

    /** Spans short enough to be drilled. */
    private static final String VERSIONS =
            ", versions: { folder: '%s', lease_ms: 2000, grace_ms: 3000, watch_ms: 3000,"
                    + " patience_ms: 4000 }";

    private static final int STARTS_S = 40;

    /** The repository, whose package is drilled. */
    private static final Path ROOT =
            Path.of(System.getProperty("drill.root", ".")).toAbsolutePath();

    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 15_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORTS));

    final FaultSchedule.Slot slot;
    final int serves;
    private final Path folder;
    private final FakeServices outside;
    private volatile History history;
    private Process process;
    private CountDownLatch part = new CountDownLatch(1);

    /** Its lines about the fleet, which are bounded by the server itself. */
    private final Queue<String> said = new ConcurrentLinkedQueue<>();

    volatile String start;
    volatile boolean up;
    volatile boolean paused;
    volatile boolean leaves;

    /** What becomes of the end of a run that was begun: by default it comes at once. */
    volatile Consumer<Runnable> ends = Runnable::run;

    /** Whether it has room for a load that is measured. */
    boolean forLoad;

    /** What else its operators' file says, as members of it. */
    String more = "";

    /** Whether versions are brought out to it. */
    boolean versions;

    /** How its next process claims, as the operators' file says it. */
    volatile String mode = "fleet";

    /** Characters on top of each result. */
    volatile int longer;

    ServerProcess(FaultSchedule.Slot slot, Path folder, History history, FakeServices.Runs runs)
            throws IOException {
        this.slot = slot;
        this.folder = Files.createDirectories(folder.resolve("server-" + slot.number()));
        this.history = history;
        // Of another run.
        Files.deleteIfExists(this.folder.resolve("voter"));
        Files.deleteIfExists(this.folder.resolve("peers"));
        DiskFaults.delete(this.folder.resolve("versions"));
        DiskFaults.delete(audit());
        diskIs(null);
        DiskFaults.delete(store());
        DiskFaults.delete(image());
        this.serves = freePort();
        outside = new FakeServices("127.0.0.1", new int[3], line -> {}, report -> {});
        outside.runs =
                (rid, operation, body) -> {
                    runs.begun(rid, operation, body);
                    ends.accept(
                            () -> {
                                try {
                                    outside.complete(
                                            rid,
                                            "done "
                                                    + body
                                                    + " by "
                                                    + slot.number()
                                                    + " as "
                                                    + rid
                                                    + ".".repeat(longer));
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
                };
    }

    private Path store() {
        return folder.resolve("store");
    }

    private Path image() {
        return folder.resolve("image");
    }

    /** Takes an image of its disk as it is, in the midst of whatever is written. */
    void takeImage() throws IOException {
        DiskFaults.delete(image());
        DiskFaults.copy(store(), image());
    }

    /**
     * Makes its disk what the script says, while it is down; what a voter has promised is on
     * another disk.
     */
    void disk(FleetScenario.Disk what) throws IOException {
        switch (what) {
            case EMPTY -> DiskFaults.delete(store());
            case OLD -> {
                DiskFaults.delete(store());
                DiskFaults.copy(image(), store());
            }
            case CUT -> DiskFaults.cut(store());
            default -> {}
        }
    }

    /** Where what it acted on is kept. */
    Path audit() {
        return folder.resolve("audit");
    }

    private Path fault() {
        return folder.resolve("disk-fault");
    }

    /**
     * Its disk takes nothing any more ({@code full}), or waits ({@code stall}); null makes it well.
     */
    void diskIs(String what) throws IOException {
        if (what == null) {
            Files.deleteIfExists(fault());
            return;
        }
        Path half = folder.resolve("disk-fault.tmp");
        Files.writeString(half, what);
        Files.move(half, fault(), StandardCopyOption.ATOMIC_MOVE);
    }

    /** What happens from here on is noted there. */
    void become(History next) {
        history = next;
    }

    /**
     * A port that is free for streams and datagrams, below those that the system hands out by
     * itself: one of those could be somebody's end of a connection by the time a server listens.
     */
    static int freePort() throws IOException {
        for (int tries = 0; tries < PORTS; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
            try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket datagrams =
                            new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                if (stream.isBound() && datagrams.isBound()) {
                    return port;
                }
            } catch (BindException e) {
                // the next one
            }
        }
        throw new IOException("no free port");
    }

    /**
     * Starts the program on this address; returns at once.
     *
     * @param seeds where it is told that others are
     * @param on whether it takes part in a fleet at all
     * @param clockS seconds that its clock is set back
     * @param voters how many of the first servers agree on epochs; 0 where the fleet keeps no
     *     copies
     * @param stores whether it remembers results on its disk
     */
    void start(
            int listen,
            int advertise,
            List<Integer> seeds,
            int probeMs,
            boolean on,
            double clockS,
            int voters,
            boolean stores)
            throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                GatewayMessages.config(
                                serves,
                                outside.processorPort(),
                                outside.recordsPort(),
                                outside.rosterPort())
                        .replace("\"name\":\"n1\"", "\"name\":\"" + slot.name() + "\"")
                        .replace(
                                "\"memory_mb\":192",
                                "\"memory_mb\":" + (forLoad ? LOAD_MB : MEMORY_MB))
                        .replace("\"keyKb\":10", "\"keyKb\":" + (forLoad ? 1 : 10))
                        .replace(
                                "\"windowNs\":10000000000",
                                "\"windowNs\":" + (forLoad ? 1 : 10) + "000000000"));
        Path key = folder.resolve("key");
        Files.writeString(key, "a key that only drills have\n");
        Path operator = folder.resolve("operator.json5");
        List<String> told = new ArrayList<>();
        for (int port : seeds) {
            told.add("'127.0.0.1:" + port + "'");
        }
        String audit = versions ? "audit: { folder: '" + audit() + "', span_ms: 2000 }, " : "";
        Files.writeString(
                operator,
                "{ "
                        + audit
                        + more
                        + " metrics: { file: '"
                        + folder.resolve("metrics.prom")
                        + "', every_ms: 1000 },"
                        + (stores ? "remember: { folder: '" + store() + "' }," : "")
                        + (on
                                ? """
                                fleet: { name: 'drill', listen: '127.0.0.1:%d', advertise: '127.0.0.1:%d', key_file: '%s', peers_file: '%s', seeds: [%s], zone: 'z%d', probe_ms: %d%s }
                                """
                                        .formatted(
                                                listen,
                                                advertise,
                                                key,
                                                folder.resolve("peers"),
                                                String.join(",", told),
                                                slot.zone(),
                                                probeMs,
                                                copies(voters))
                                : "")
                        + ", drill: { clock_ms: "
                        + (long) (-clockS * 1000)
                        + ", disk_fault: '"
                        + fault()
                        + "' } }");
        ProcessBuilder builder =
                new ProcessBuilder("sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.directory(ROOT.toFile()).environment().put("OCHRETILLER_DRILL", "1");
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("OPERATOR_FILE", operator.toString());
        // A server that was killed takes its processor along: the next one knows nothing of its
        // runs and counts its notices anew.
        outside.keepsNotices = true;
        if (process != null) {
            outside.restarted();
        }
        part = new CountDownLatch(1);
        Process started = process = builder.start();
        CountDownLatch mine = part;
        leaves = false;
        paused = false;
        DaemonThreads.start(
                () -> {
                    try (BufferedReader lines =
                                    new BufferedReader(
                                            new InputStreamReader(started.getInputStream()));
                            BufferedWriter log =
                                    Files.newBufferedWriter(
                                            folder.resolve("log-" + started.pid()))) {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            log.append(line).append('\n');
                            if (line.contains("fleet:")) {
                                said.add(line);
                            }
                            log.flush();
                            Matcher begins = PART.matcher(line);
                            boolean serving = !on && line.contains(" listens on ");
                            if (!begins.find() && !serving) {
                                continue;
                            }
                            start = serving ? Long.toHexString(started.pid()) : begins.group(2);
                            up = true;
                            history.add(History.What.STARTED, slot.number(), start, slot.name());
                            mine.countDown();
                        }
                    }
                });
    }

    private String copies(int voters) {
        if (voters == 0) {
            return "";
        }
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= voters; i++) {
            names.add("'m" + i + "'");
        }
        return ", copies: { voters: ["
                + String.join(",", names)
                + "], voter_file: '"
                + folder.resolve("voter")
                + "', calm_ms: 1500, "
                + (forLoad ? "most_entries: 100000, most_mb: 64, " : "")
                + "mode: '"
                + mode
                + "'"
                + (versions ? VERSIONS.formatted(folder.resolve("versions")) : "")
                + " }";
    }

    /** Whether it has logged a line with this in it, within a bounded time. */
    boolean awaitLine(Pattern text, int withinS) throws InterruptedException {
        for (int i = 0; i < withinS * 20; i++) {
            if (said.stream().anyMatch(line -> text.matcher(line).find())) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Whether it has come to take part, within a bounded time. */
    boolean awaitPart() throws InterruptedException {
        return part.await(STARTS_S, TimeUnit.SECONDS);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    void kill() throws InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        up = false;
        history.add(History.What.KILLED, slot.number(), start, "");
        process.destroyForcibly().waitFor();
        paused = false;
    }

    void pause() throws IOException, InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        paused = true;
        history.add(History.What.PAUSED, slot.number(), start, "");
        signal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        if (process == null || !process.isAlive()) {
            return;
        }
        signal("CONT");
        history.add(History.What.RESUMED, slot.number(), start, "");
        paused = false;
    }

    void leave() {
        if (process == null || !process.isAlive()) {
            return;
        }
        leaves = true;
        history.add(History.What.LEAVES, slot.number(), start, "");
        Process leaving = process;
        leaving.toHandle().destroy();
        leaving.onExit()
                .thenRun(
                        () -> {
                            if (leaving != process) {
                                return;
                            }
                            up = false;
                            history.add(History.What.ENDED, slot.number(), start, "");
                        });
    }

    /** Waits until a process that was told to leave has ended. */
    void awaitEnd() throws InterruptedException {
        if (process != null && process.isAlive() && leaves) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    void close() throws IOException {
        up = false;
        if (process != null) {
            process.destroyForcibly();
        }
        outside.close();
    }
}
