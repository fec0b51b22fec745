package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.fleet.FaultSchedule;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.LinkFaults;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fleet.transport.AdminClient;

/**
 * Runs a fleet scenario on real server processes: starts them, injects the scheduled faults, polls
 * the membership views and waits for convergence after the last fault.
 */
final class ScenarioRunner implements AutoCloseable {
    /** An action that runs more than this after its scheduled time makes the run void. */
    private static final double MAX_ACTION_DELAY_S = 1.5;

    /** The views have converged once they have been equal and correct for this long. */
    private static final double STABLE_S = 2.5;

    /** Strength of a crowd fault, in ms, for which one busy loop per core is started. */
    private static final double CROWD_STEP_MS = 50;

    private static final int POLL_MS = 100;

    /** Members join one by one; each is given this long. */
    private static final int JOIN_S_PER_MEMBER = 10;

    /** Time after an epoch change within which all ranges are complete. */
    private static final double EPOCH_SETTLE_S = 1.5;

    /** Time within which replicas become equal after all of them have been compared. */
    private static final double COMPARE_TIMEOUT_S = 25;

    private static final int COMPARE_POLL_MS = 250;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final Path folder;
    private final boolean fleetEnabled;
    private final boolean replicationEnabled;
    private final boolean storeEnabled;
    private final Consumer<String> progress;
    private final Map<Integer, ServerProcess> servers = new TreeMap<>();
    private final Map<Integer, Integer> serverPorts = new HashMap<>();
    private final Map<Integer, Integer> proxyPorts = new HashMap<>();
    private final List<MembershipPoller> pollers = new ArrayList<>();
    private final List<Process> busyLoops = new ArrayList<>();
    private final FaultProxy proxy;
    private final SplittableRandom random;
    private final long seed;
    private History history;
    private volatile boolean closed;

    /** Whether servers get one another's real addresses, without the fault proxy in between. */
    private boolean bypassesProxy;

    private boolean benchmarkLimits;
    private String extraOperatorSettings;

    /**
     * Creates a runner without starting any process.
     *
     * @param fleetEnabled whether the servers form a fleet; if not, the same scenario measures what
     *     clients get from independent servers
     * @param replicationEnabled whether the servers replicate results, if the scenario has it
     */
    ScenarioRunner(
            FleetScenario scenario,
            long seed,
            Path folder,
            boolean fleetEnabled,
            boolean replicationEnabled,
            Consumer<String> progress)
            throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.schedule = FaultSchedule.of(scenario);
        this.folder = folder;
        this.fleetEnabled = fleetEnabled;
        this.replicationEnabled = replicationEnabled && fleetEnabled && scenario.copies();
        this.storeEnabled = this.replicationEnabled && scenario.store();
        this.progress = progress;
        RandomStreams seeds = new RandomStreams(seed);
        this.random = seeds.stream("floods");
        this.history = new History(System.nanoTime());
        this.proxy =
                new FaultProxy(
                        new LinkFaults(schedule, seeds.stream("faults")), () -> history.now());
    }

    /** Runs the whole scenario and returns the history of its events. */
    History run() throws IOException, InterruptedException {
        // Scenario time begins once all initial members are ready, whatever their scheduled start
        // times. Until then, its zero point is an hour ahead.
        history = new History(System.nanoTime() + 3_600_000_000_000L);
        for (FaultSchedule.Slot slot : schedule.slots()) {
            createServer(slot, this::recordRun);
        }
        proxy.start();
        for (FaultSchedule.Action action : schedule.actions()) {
            if (isInitialStart(action)) {
                start(action);
            }
        }
        for (FaultSchedule.Action action : schedule.actions()) {
            if (isInitialStart(action) && !servers.get(action.slot()).awaitReady()) {
                throw new IOException("server " + action.slot() + " was not ready in time");
            }
        }
        History started = new History(System.nanoTime() - (long) (scenario.startS() * 1e9));
        for (History.Event event : history.snapshot()) {
            started.append(
                    new History.Event(
                            scenario.startS(),
                            event.what(),
                            event.slot(),
                            event.id(),
                            event.text(),
                            null));
        }
        switchHistory(started);
        progress.accept(scenario.members() + " servers are there");
        if (replicationEnabled) {
            awaitEpochOfAllMembers();
        }
        LoadGenerator load =
                new LoadGenerator(
                        history,
                        List.copyOf(servers.values()),
                        scenario.load().perSecond(),
                        seed,
                        scenario.copies());
        load.start();
        for (FaultSchedule.Fault fault : schedule.faults()) {
            scheduleFault(fault);
        }
        for (FaultSchedule.Action action : schedule.actions()) {
            if (isInitialStart(action)) {
                continue;
            }
            sleepUntil(action.atS());
            double lateS = history.now() - action.atS();
            if (lateS > MAX_ACTION_DELAY_S) {
                history.add(
                        History.EventType.VOID,
                        action.slot(),
                        "",
                        String.format(Locale.ROOT, "%s came %.1f s late", action.kind(), lateS));
            }
            progress.accept(
                    String.format(
                            Locale.ROOT,
                            "%.1f s: %s %d",
                            history.now(),
                            action.kind(),
                            action.slot()));
            apply(action);
        }
        sleepUntil(schedule.lastFaultEndS());
        for (FaultSchedule.Action action : schedule.actions()) {
            ServerProcess server = servers.get(action.slot());
            if (action.kind() == FaultSchedule.ActionKind.START
                    && !isInitialStart(action)
                    && !server.awaitReady()) {
                history.add(History.EventType.VOID, action.slot(), "", "it did not start");
            }
        }
        double lastFaultS = history.now();
        progress.accept(String.format(Locale.ROOT, "%.1f s: all faults are over", lastFaultS));
        double deadlineS =
                Math.max(
                        scenario.seconds(),
                        lastFaultS + Math.max(scenario.expect().settledS(), 5) + STABLE_S);
        awaitConvergence(deadlineS, lastFaultS);
        load.stop();
        if (replicationEnabled) {
            recordReplicaDigests();
        }
        history.add(History.EventType.OVER, 0, "", "");
        return history;
    }

    /**
     * Lets the servers talk to one another without the fault proxy, for measurements of the servers
     * alone.
     */
    ScenarioRunner bypassProxy() {
        bypassesProxy = true;
        return this;
    }

    /** Enables rollouts; {@code operatorSettings} are JSON5 members for the operator files. */
    ScenarioRunner enableRollouts(String operatorSettings) {
        extraOperatorSettings = operatorSettings;
        return this;
    }

    /**
     * Raises the servers' memory and entry limits for a benchmark, which would otherwise measure
     * those limits.
     */
    ScenarioRunner useBenchmarkLimits() {
        benchmarkLimits = true;
        return this;
    }

    /**
     * Starts all servers of the scenario and waits until they are ready. {@code onRun} gets the
     * slot and the request body of each run that a processor begins.
     */
    void startServers(BiConsumer<Integer, String> onRun) throws IOException, InterruptedException {
        for (FaultSchedule.Slot slot : schedule.slots()) {
            createServer(slot, onRun);
        }
        proxy.start();
        for (FaultSchedule.Action action : schedule.actions()) {
            start(action);
        }
        for (ServerProcess server : servers.values()) {
            if (!server.awaitReady()) {
                throw new IOException("server " + server.slot.number() + " was not ready in time");
            }
        }
        if (replicationEnabled) {
            awaitEpochOfAllMembers();
        }
    }

    /** Cuts these servers off from all others until the next call; an empty set ends the cut. */
    void isolate(Set<Integer> slots) {
        proxy.isolate(slots);
    }

    ServerProcess server(int number) {
        return servers.get(number);
    }

    /** Starts a stopped server again, on its current disk. */
    void restart(int number) throws IOException, InterruptedException {
        for (FaultSchedule.Action action : schedule.actions()) {
            if (action.slot() == number && action.kind() == FaultSchedule.ActionKind.START) {
                start(action);
            }
        }
    }

    /** Records all further events in {@code started}, whose time is scenario time. */
    private void switchHistory(History started) {
        history = started;
        Map<Integer, ServerProcess> currentServers = new TreeMap<>(servers);
        currentServers.forEach((number, server) -> server.setHistory(started));
        for (ServerProcess server : servers.values()) {
            if (fleetEnabled) {
                startPoller(server);
            }
        }
    }

    /**
     * Waits for an epoch of all members, since keyed requests are throttled until then, and starts
     * scenario time anew.
     */
    private void awaitEpochOfAllMembers() throws InterruptedException, IOException {
        // The number of the epoch is not checked.
        String epochOfAll = "of \\[" + "[^, ]+, ".repeat(scenario.members() - 1) + "[^, ]+\\]";
        for (ServerProcess server : servers.values()) {
            if (server.slot.number() <= scenario.members()
                    && !server.awaitLogLine(
                            Pattern.compile(epochOfAll), JOIN_S_PER_MEMBER * scenario.members())) {
                throw new IOException(
                        "server "
                                + server.slot.number()
                                + " did not report an epoch of all members in time");
            }
        }
        Thread.sleep((long) (EPOCH_SETTLE_S * 1000));
        History started = new History(System.nanoTime() - (long) (scenario.startS() * 1e9));
        for (History.Event event : history.snapshot()) {
            if (event.what() == History.EventType.STARTED) {
                started.append(
                        new History.Event(
                                scenario.startS(),
                                event.what(),
                                event.slot(),
                                event.id(),
                                event.text(),
                                null));
            }
        }
        for (MembershipPoller poller : pollers) {
            poller.setHistory(started);
        }
        history = started;
        servers.forEach((number, server) -> server.setHistory(started));
    }

    private boolean isInitialStart(FaultSchedule.Action action) {
        return action.kind() == FaultSchedule.ActionKind.START
                && action.slot() <= scenario.members()
                && action.atS() <= scenario.startS()
                && !isRestart(action);
    }

    private boolean isRestart(FaultSchedule.Action action) {
        for (FaultSchedule.Action each : schedule.actions()) {
            if (each == action) {
                return false;
            }
            if (each.slot() == action.slot() && each.kind() == FaultSchedule.ActionKind.START) {
                return true;
            }
        }
        return false;
    }

    private void createServer(FaultSchedule.Slot slot, BiConsumer<Integer, String> onRun)
            throws IOException {
        ServerProcess server =
                new ServerProcess(
                        slot,
                        folder,
                        history,
                        (rid, operation, body) -> onRun.accept(slot.number(), body));
        server.benchmarkLimits = benchmarkLimits;
        server.rolloutsEnabled = extraOperatorSettings != null;
        server.extraOperatorSettings = extraOperatorSettings == null ? "" : extraOperatorSettings;
        servers.put(slot.number(), server);
    }

    private void recordRun(int slot, String body) {
        history.add(History.EventType.RAN, slot, body, "");
    }

    private int serverPort(int address) throws IOException {
        Integer port = serverPorts.get(address);
        if (port != null) {
            return port;
        }
        int newPort = ServerProcess.freePort();
        serverPorts.put(address, newPort);
        proxyPorts.put(address, proxy.openRelay(address, newPort));
        return newPort;
    }

    /** Returns the port at which other servers reach an address. */
    private int advertisedPort(int address) {
        return bypassesProxy ? serverPorts.get(address) : proxyPorts.get(address);
    }

    private final Map<Integer, Integer> addressBySlot = new HashMap<>();

    private void start(FaultSchedule.Action action) throws IOException, InterruptedException {
        ServerProcess server = servers.get(action.slot());
        server.awaitExit();
        int listenPort = serverPort(action.address());
        proxy.assignSlot(action.address(), action.slot());
        addressBySlot.put(action.slot(), action.address());
        List<Integer> seeds = new ArrayList<>();
        for (int i = 1; i <= scenario.seeds(); i++) {
            serverPort(i);
            seeds.add(advertisedPort(i));
        }
        server.start(
                listenPort,
                advertisedPort(action.address()),
                seeds,
                scenario.probeMs(),
                fleetEnabled,
                clockSetbackS(action),
                replicationEnabled ? Math.min(3, scenario.members()) : 0,
                storeEnabled);
    }

    private double clockSetbackS(FaultSchedule.Action action) {
        double setbackS = 0;
        for (FaultSchedule.Fault fault : schedule.faults()) {
            boolean active = action.atS() >= fault.atS() && action.atS() <= fault.untilS();
            if (fault.kind() == FaultSchedule.FaultKind.CLOCK
                    && active
                    && fault.to().contains(action.slot())) {
                setbackS += fault.strength();
            }
        }
        return setbackS;
    }

    private void startPoller(ServerProcess server) {
        Integer address = addressBySlot.get(server.slot.number());
        if (address == null) {
            return;
        }
        pollers.add(new MembershipPoller(server, serverPorts.get(address), history, POLL_MS));
    }

    private void apply(FaultSchedule.Action action) throws IOException, InterruptedException {
        ServerProcess server = servers.get(action.slot());
        switch (action.kind()) {
            case START -> {
                Integer previousAddress = addressBySlot.get(action.slot());
                server.awaitExit();
                if (storeEnabled) {
                    server.prepareDisk(action.disk());
                }
                start(action);
                if (fleetEnabled
                        && (previousAddress == null || previousAddress != action.address())) {
                    startPoller(server);
                }
            }
            case IMAGE -> {
                if (storeEnabled) {
                    server.takeImage();
                }
            }
            case KILL -> server.kill();
            case PAUSE -> server.pause();
            case RESUME -> server.resume();
            case LEAVE -> server.leave();
            default -> throw new IllegalStateException();
        }
    }

    /** Records the replica digests of each server, equal or not, for the checker. */
    private void recordReplicaDigests() throws InterruptedException {
        compareReplicas()
                .forEach(
                        (slot, digests) ->
                                history.add(
                                        History.EventType.COPIES,
                                        slot,
                                        servers.get(slot).incarnation,
                                        digests == null
                                                ? "none"
                                                : digests.get("ranges").toString()));
    }

    /**
     * Lets all servers compare their replicas and returns each server's digests by slot, once they
     * are equal or the timeout has passed. The value of a server that did not answer is null.
     */
    Map<Integer, JsonNode> compareReplicas() throws InterruptedException {
        double deadlineS = history.now() + COMPARE_TIMEOUT_S;
        Map<Integer, JsonNode> digests = new TreeMap<>();
        for (ServerProcess server : servers.values()) {
            if (server.ready) {
                adminRequest(server, "copies-repair");
            }
        }
        while (history.now() < deadlineS) {
            digests.clear();
            for (ServerProcess server : servers.values()) {
                if (server.ready) {
                    digests.put(server.slot.number(), adminRequest(server, "copies-digests"));
                }
            }
            if (!digests.containsValue(null) && digestsMatch(digests.values())) {
                break;
            }
            Thread.sleep(COMPARE_POLL_MS);
        }
        return digests;
    }

    /** Returns the answer to an operator command, or null if the server cannot be reached. */
    JsonNode adminRequest(ServerProcess server, String command) {
        return adminRequest(server, command, "");
    }

    JsonNode adminRequest(ServerProcess server, String command, String arguments) {
        Integer address = addressBySlot.get(server.slot.number());
        try (AdminClient client =
                new AdminClient(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), serverPorts.get(address)),
                        "drill",
                        MembershipPoller.DRILL_KEYS)) {
            return JSON.readTree(client.request(command, arguments));
        } catch (IOException e) {
            progress.accept(
                    "server " + server.slot.number() + " cannot be asked: " + e.getMessage());
            return null;
        }
    }

    private static boolean digestsMatch(Collection<JsonNode> responses) {
        Map<String, JsonNode> first = new HashMap<>();
        for (JsonNode response : responses) {
            for (Map.Entry<String, JsonNode> range : response.get("ranges").properties()) {
                JsonNode other = first.putIfAbsent(range.getKey(), range.getValue());
                if (other != null && !other.equals(range.getValue())
                        || !range.getValue().get(2).asBoolean()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Starts threads for faults outside the network links: CPU load, disk faults and floods. */
    private void scheduleFault(FaultSchedule.Fault fault) {
        if (fault.kind() == FaultSchedule.FaultKind.CROWD) {
            DaemonThreads.start(
                    () -> {
                        sleepUntil(fault.atS());
                        int count =
                                (int) Math.ceil(fault.strength() / CROWD_STEP_MS)
                                        * Runtime.getRuntime().availableProcessors();
                        List<Process> started = new ArrayList<>();
                        for (int i = 0; i < count; i++) {
                            started.add(
                                    new ProcessBuilder("sh", "-c", "while :; do :; done").start());
                        }
                        synchronized (busyLoops) {
                            busyLoops.addAll(started);
                        }
                        sleepUntil(fault.untilS());
                        started.forEach(Process::destroyForcibly);
                    });
        } else if (fault.kind() == FaultSchedule.FaultKind.FULL
                || fault.kind() == FaultSchedule.FaultKind.STALL) {
            DaemonThreads.start(
                    () -> {
                        sleepUntil(fault.atS());
                        for (int slot : fault.to()) {
                            servers.get(slot)
                                    .setDiskFault(fault.kind().name().toLowerCase(Locale.ROOT));
                        }
                        sleepUntil(fault.untilS());
                        for (int slot : fault.to()) {
                            servers.get(slot).setDiskFault(null);
                        }
                    });
        } else if (fault.kind() == FaultSchedule.FaultKind.FLOOD) {
            for (int slot : fault.to()) {
                DaemonThreads.start(() -> flood(fault, slot));
            }
        }
    }

    /** Sends random, corrupted and replayed packets at the fault's rate, in packets a second. */
    private void flood(FaultSchedule.Fault fault, int slot)
            throws IOException, InterruptedException {
        sleepUntil(fault.atS());
        SplittableRandom floodRandom;
        synchronized (random) {
            floodRandom = random.split();
        }
        try (DatagramSocket socket = new DatagramSocket()) {
            int port = serverPorts.get(addressBySlot.get(slot));
            long sentPackets = 0;
            long startNanos = System.nanoTime();
            while (!closed && history.now() < fault.untilS()) {
                List<byte[]> recentPackets = proxy.recentPackets();
                for (int i = 0; i < 20; i++) {
                    byte[] bytes = new byte[1 + floodRandom.nextInt(1400)];
                    floodRandom.nextBytes(bytes);
                    if (!recentPackets.isEmpty() && i % 3 != 0) {
                        bytes =
                                recentPackets
                                        .get(floodRandom.nextInt(recentPackets.size()))
                                        .clone();
                        if (i % 3 == 1) {
                            bytes[floodRandom.nextInt(bytes.length)] ^= 0x11;
                        }
                    }
                    socket.send(
                            new DatagramPacket(
                                    bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
                    sentPackets++;
                }
                long aheadNanos =
                        (long) (sentPackets / Math.max(1, fault.strength()) * 1e9)
                                - (System.nanoTime() - startNanos);
                if (aheadNanos > 0) {
                    Thread.sleep(aheadNanos / 1_000_000, (int) (aheadNanos % 1_000_000));
                }
            }
        }
    }

    private void sleepUntil(double atS) throws InterruptedException {
        for (double leftS = atS - history.now(); leftS > 0; leftS = atS - history.now()) {
            Thread.sleep((long) Math.ceil(Math.min(leftS, 1) * 1000));
        }
    }

    /** Returns once all views have been equal and correct for a while, or at the deadline. */
    private void awaitConvergence(double deadlineS, double lastFaultS) throws InterruptedException {
        double convergedSinceS = Double.NaN;
        while (history.now() < deadlineS) {
            boolean converged = !fleetEnabled || hasConverged();
            if (!converged) {
                convergedSinceS = Double.NaN;
            } else if (Double.isNaN(convergedSinceS)) {
                convergedSinceS = history.now();
            }
            if (converged
                    && history.now() - convergedSinceS > STABLE_S
                    && history.now() >= scenario.seconds()) {
                return;
            }
            if (converged
                    && history.now() - convergedSinceS > STABLE_S
                    && scenario.expect().settledS() > 0
                    && history.now() > lastFaultS + STABLE_S) {
                return;
            }
            Thread.sleep(POLL_MS);
        }
    }

    private boolean hasConverged() {
        Set<String> expected = new TreeSet<>();
        for (ServerProcess server : servers.values()) {
            if (server.ready && !server.leaving) {
                expected.add(server.incarnation);
            }
        }
        String digest = null;
        Set<String> polled = new TreeSet<>();
        for (MembershipPoller poller : pollers) {
            if (poller.incarnation == null || !expected.contains(poller.incarnation)) {
                continue;
            }
            polled.add(poller.incarnation);
            Set<String> members = new TreeSet<>();
            poller.states.forEach(
                    (incarnation, state) -> {
                        if (state.equals("HERE")) {
                            members.add(incarnation);
                        }
                    });
            if (!members.equals(expected) || digest != null && !digest.equals(poller.digest)) {
                return false;
            }
            digest = poller.digest;
        }
        return polled.equals(expected);
    }

    long forwardedPackets() {
        return proxy.forwarded.get();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (MembershipPoller poller : pollers) {
            poller.stop();
        }
        synchronized (busyLoops) {
            busyLoops.forEach(Process::destroyForcibly);
        }
        for (ServerProcess server : servers.values()) {
            server.close();
        }
        proxy.close();
    }
}
