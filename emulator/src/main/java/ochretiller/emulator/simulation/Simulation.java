package ochretiller.emulator.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.rules.RuleChecker;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.CallOutcome;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import ochretiller.settings.SettingLookup;

/**
 * Simulates one run of a scenario: its servers, gateways, records service and clients, and its
 * incidents. Runs on one thread; the same scenario and seed give the same results.
 */
public final class Simulation {
    /** Extra seconds after the last possible timeout, by when every request must have ended. */
    private static final double SETTLE_S = 2;

    final EventQueue events = new EventQueue();
    final RandomStreams randomStreams;
    final Scenario scenario;
    final RuleChecker rules = new RuleChecker();
    final Map<String, Operation> operations = new LinkedHashMap<>();
    private final SettingLookup settings;
    private final List<EmulatedServer> servers = new ArrayList<>();
    private final Map<Integer, Integer> incarnations = new HashMap<>();

    /** By server index; null if nothing survives a restart. */
    private final List<DurableStorageModel> storages = new ArrayList<>();

    private final List<GatewayModel> gateways = new ArrayList<>();
    private final RecordsServiceModel records;
    private final SplittableRandom delayRandom;
    private final SplittableRandom recordsServiceDelayRandom;
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom returnRandom;
    private final Map<EmulatedServer, boolean[]> observedHealth = new HashMap<>();
    private final SimulationResult result;
    private double rateFactor = 1;

    /** Servers with a lower index are disconnected from the gateways. */
    private int disconnectedBelow;

    private long lastId;
    private long lastToken;

    /** Creates a simulation that can be run once. */
    public Simulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.randomStreams = new RandomStreams(seed);
        this.result = new SimulationResult(scenario);
        this.records =
                new RecordsServiceModel(events, scenario.ledger(), randomStreams.stream("ledger"));
        this.delayRandom = randomStreams.stream("network");
        this.recordsServiceDelayRandom = randomStreams.stream("network to the ledger");
        this.arrivalRandom = randomStreams.stream("arrivals");
        this.returnRandom = randomStreams.stream("returns");
        for (Scenario.Operation spec : scenario.operations()) {
            operations.put(
                    spec.name(),
                    new Operation(
                            spec.name(),
                            toSideEffect(spec.effect()),
                            millis(spec.objectiveMs()),
                            millis(spec.timeoutMs()),
                            spec.value(),
                            spec.lateShare(),
                            millis(spec.windowMs()),
                            spec.calls(),
                            0));
        }
        this.settings = serverSettings();
    }

    private static SideEffect toSideEffect(String name) {
        return switch (name) {
            case "idempotent" -> SideEffect.IDEMPOTENT;
            case "tokened" -> SideEffect.KEYED;
            default -> SideEffect.NON_IDEMPOTENT;
        };
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }

    /**
     * Returns the settings that a server of such a fleet would have, overridden by the settings of
     * the scenario.
     */
    private SettingLookup serverSettings() {
        Scenario.Fleet fleet = scenario.fleet();
        Map<String, String> values = new HashMap<>();
        values.put("familyInfo.cpus", "" + fleet.cores());
        values.put("familyInfo.memoryKb", "" + fleet.memoryKb());
        values.put("familyInfo.runFactor", "" + fleet.runFactor());
        values.put("familyInfo.keyKb", "" + fleet.keyKb());
        values.put("familyInfo.callers", "" + scenario.gateways().count());
        values.put("familyInfo.halt", "abort");
        values.put("familyInfo.callsOut", "" + (double) scenario.ledger().slots() / fleet.boxes());
        values.put("familyInfo.shareSpanNs", "1000000000");
        values.put("peersTotal", "" + fleet.boxes());
        values.put("guarantees.fallMultiple", "" + fleet.fallsAt());
        values.put("guarantees.coldShare", "" + fleet.coldShare());
        values.put("guarantees.coldNs", "" + (long) (fleet.coldS() * 1e9));
        values.put("guarantees.stopSendingWithinNs", "" + (long) (fleet.graceS() * 1e9));
        values.put("permissions.retryAfter", "true");
        values.put("permissions.maxRetryAfterNs", "2000000000");
        values.putAll(scenario.settings());
        return values::get;
    }

    /** Returns the virtual time since the start, seconds. */
    public double nowSeconds() {
        return events.nowSeconds();
    }

    /** Runs the simulation until all requests have ended and returns its results. */
    public SimulationResult run() {
        int serverCount = scenario.fleet().boxes();
        for (int index = 0; index < serverCount; index++) {
            storages.add(
                    scenario.fleet().remembers()
                            ? new DurableStorageModel(events, scenario.fleet().forceMs() / 1e3)
                            : null);
            servers.add(newServer(index, false));
        }
        ServiceDirectory directory = new ServiceDirectory(servers);
        for (int i = 0; i < scenario.gateways().count(); i++) {
            gateways.add(new GatewayModel(this, i, directory));
        }
        observeHealth();
        for (int i = 0; i < scenario.incidents().size(); i++) {
            Scenario.Incident incident = scenario.incidents().get(i);
            SplittableRandom random = randomStreams.stream("incident " + i);
            events.schedule(incident.atS(), () -> applyIncident(incident, random));
        }
        scheduleNextRequest();
        recordSample();
        double maxWait =
                scenario.operations().stream()
                                .mapToDouble(Scenario.Operation::timeoutMs)
                                .max()
                                .orElse(0)
                        / 1e3;
        double maxReturn =
                scenario.operations().stream()
                        .mapToDouble(Scenario.Operation::backS)
                        .max()
                        .orElse(0);
        events.runUntil(
                scenario.seconds() + 2 * maxWait + maxReturn + SETTLE_S + scenario.fleet().stopS());
        rules.finish(events.nowSeconds());
        result.finish(
                rules, events.executedEvents(), records.callCount(), records.overloadOutages());
        return result;
    }

    private EmulatedServer newServer(int index, boolean cold) {
        int incarnation = incarnations.merge(index, 1, Integer::sum) - 1;
        return new EmulatedServer(this, index, incarnation, settings, cold, storages.get(index));
    }

    long nextId() {
        return ++lastId;
    }

    /**
     * Delivers a message between a gateway and a server after the network delay. A message from or
     * to a disconnected server is lost without notice to its sender.
     */
    void transmit(EmulatedServer server, Runnable onArrival) {
        double delay =
                (scenario.network().delayMs()
                                + scenario.network().jitterMs() * delayRandom.nextDouble())
                        / 1e3;
        if (server.index < disconnectedBelow) {
            return;
        }
        events.schedule(delay, onArrival);
    }

    /** Calls the records service; the network delay is the same in both directions. */
    void callRecordsService(Consumer<CallOutcome.Status> onOutcome) {
        double delay =
                (scenario.network().delayMs()
                                + scenario.network().jitterMs()
                                        * recordsServiceDelayRandom.nextDouble())
                        / 1e3;
        events.schedule(
                delay,
                () ->
                        records.call(
                                status -> events.schedule(delay, () -> onOutcome.accept(status))));
    }

    /** Returns the result of the last health check, true if there was none yet. */
    boolean isObservedHealthy(EmulatedServer server) {
        boolean[] healthy = observedHealth.get(server);
        return healthy == null || healthy[0];
    }

    private void observeHealth() {
        for (EmulatedServer server : servers) {
            observedHealth.computeIfAbsent(server, key -> new boolean[1])[0] =
                    server.state == EmulatedServer.State.UP
                            && server.healthy
                            && server.index >= disconnectedBelow;
        }
        observedHealth.keySet().retainAll(servers);
        events.schedule(scenario.gateways().healthMs() / 1e3, this::observeHealth);
    }

    // Client requests.

    private void scheduleNextRequest() {
        double gap = RandomStreams.exponential(arrivalRandom, 1 / scenario.traffic().perSecond());
        // A burst scales the gap instead of drawing more random numbers, so that runs with and
        // without it stay comparable.
        events.schedule(
                gap / rateFactor,
                () -> {
                    if (events.nowSeconds() >= scenario.seconds()) {
                        return;
                    }
                    sendNewRequest();
                    scheduleNextRequest();
                });
    }

    private void sendNewRequest() {
        Scenario.Operation spec = scenario.operationAt(arrivalRandom.nextDouble());
        int callerCount = scenario.traffic().callers();
        boolean fromHeavyCaller = arrivalRandom.nextDouble() < scenario.traffic().skew();
        long caller =
                fromHeavyCaller
                        ? arrivalRandom.nextInt(Math.max(1, callerCount / 10))
                        : arrivalRandom.nextInt(callerCount);
        double work = RandomStreams.logNormal(arrivalRandom, spec.workMs() / 1e3, spec.spread());
        boolean returnsAfterFailure = arrivalRandom.nextDouble() < spec.repeats();
        double returnDelay = arrivalRandom.nextDouble() * spec.backS();
        Operation operation = operations.get(spec.name());
        String token = operation.isKeyed() ? "t" + ++lastToken : null;
        send(spec, operation, token, caller, work, returnsAfterFailure ? returnDelay : -1, true);
    }

    private void send(
            Scenario.Operation spec,
            Operation operation,
            String token,
            long caller,
            double work,
            double returnDelay,
            boolean first) {
        double sentAt = events.nowSeconds();
        ClientRequest[] request = new ClientRequest[1];
        request[0] =
                new ClientRequest(
                        spec,
                        operation,
                        token,
                        caller,
                        work,
                        sentAt,
                        requestOutcome -> {
                            result.countOutcome(
                                    spec,
                                    caller,
                                    sentAt,
                                    events.nowSeconds(),
                                    requestOutcome,
                                    request[0].attempts,
                                    first);
                            if (requestOutcome != ClientRequest.Outcome.SUCCEEDED
                                    && token != null
                                    && returnDelay >= 0) {
                                events.schedule(
                                        returnDelay,
                                        () ->
                                                send(
                                                        spec, operation, token, caller, work, -1,
                                                        false));
                            }
                        });
        result.countRequests(spec, caller, sentAt, first);
        gateways.get((int) (caller % gateways.size())).send(request[0]);
    }

    // Incidents.

    private List<EmulatedServer> pickServers(double share, SplittableRandom random) {
        List<EmulatedServer> shuffled = new ArrayList<>(servers);
        int count = (int) Math.ceil(share * scenario.fleet().boxes());
        for (int i = shuffled.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            EmulatedServer swapped = shuffled.get(i);
            shuffled.set(i, shuffled.get(j));
            shuffled.set(j, swapped);
        }
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    private void applyIncident(Scenario.Incident incident, SplittableRandom random) {
        List<EmulatedServer> affected = pickServers(incident.share(), random);
        switch (incident.what()) {
            case "die" -> affected.forEach(server -> crash(server, incident.forS()));
            case "pause" ->
                    applyDuring(
                            incident,
                            () -> affected.forEach(server -> server.setPaused(true)),
                            () -> affected.forEach(server -> server.setPaused(false)));
            case "slow" ->
                    applyDuring(
                            incident,
                            () ->
                                    affected.forEach(
                                            server -> server.setSlowdown(incident.strength())),
                            () -> affected.forEach(server -> server.setSlowdown(1)));
            case "fail" ->
                    applyDuring(
                            incident,
                            () ->
                                    affected.forEach(
                                            server ->
                                                    server.fail(Math.min(1, incident.strength()))),
                            () -> affected.forEach(server -> server.fail(0)));
            case "release" -> {
                for (int i = 0; i < affected.size(); i++) {
                    EmulatedServer server = affected.get(i);
                    events.schedule(
                            incident.forS() * i / affected.size(), () -> drainAndReplace(server));
                }
            }
            case "burst" ->
                    applyDuring(
                            incident,
                            () -> rateFactor *= incident.strength(),
                            () -> rateFactor /= incident.strength());
            case "ledger-slow" ->
                    applyDuring(
                            incident,
                            () -> records.setSlowdown(incident.strength()),
                            () -> records.setSlowdown(1));
            case "ledger-down" -> records.goDown(incident.forS());
            case "cut" ->
                    applyDuring(
                            incident,
                            () ->
                                    disconnectedBelow =
                                            (int)
                                                    Math.ceil(
                                                            incident.share()
                                                                    * scenario.fleet().boxes()),
                            () -> disconnectedBelow = 0);
            case "disk-stall" ->
                    applyDuring(
                            incident,
                            () -> affected.forEach(server -> setDiskStalled(server, true)),
                            () -> affected.forEach(server -> setDiskStalled(server, false)));
            case "retry-storm" ->
                    applyDuring(
                            incident,
                            () -> setRetryStorm(incident.share(), true),
                            () -> setRetryStorm(1, false));
            default ->
                    throw new IllegalStateException("unknown kind of incident: " + incident.what());
        }
    }

    private void applyDuring(Scenario.Incident incident, Runnable onStart, Runnable onEnd) {
        onStart.run();
        events.schedule(incident.forS(), onEnd);
    }

    private void setDiskStalled(EmulatedServer server, boolean stalled) {
        if (storages.get(server.index) != null) {
            storages.get(server.index).setStalled(stalled);
        }
    }

    private void setRetryStorm(double share, boolean active) {
        int count = (int) Math.ceil(share * gateways.size());
        for (int i = 0; i < count; i++) {
            gateways.get(i).retryStorm = active;
        }
    }

    void crash(EmulatedServer server) {
        crash(server, 0);
    }

    /** Crashes a server and schedules its replacement, which starts cold. */
    private void crash(EmulatedServer server, double downSeconds) {
        if (server.state == EmulatedServer.State.STOPPED) {
            return;
        }
        result.countServerCrash(events.nowSeconds());
        server.terminate();
        scheduleReplacement(server, downSeconds + scenario.fleet().bootS());
    }

    private void drainAndReplace(EmulatedServer server) {
        if (server.state != EmulatedServer.State.UP) {
            return;
        }
        server.shutDown();
        scheduleReplacement(server, scenario.fleet().stopS() + scenario.fleet().bootS());
    }

    private void scheduleReplacement(EmulatedServer server, double delaySeconds) {
        servers.remove(server);
        publishDirectory();
        events.schedule(
                delaySeconds,
                () -> {
                    // The old server has stopped by now, even if its drain took the whole time.
                    server.terminate();
                    servers.add(newServer(server.index, true));
                    publishDirectory();
                });
    }

    /** Sends the current list of servers to each gateway, each with a delay of its own. */
    private void publishDirectory() {
        ServiceDirectory directory = new ServiceDirectory(servers);
        for (GatewayModel gateway : gateways) {
            events.schedule(
                    scenario.gateways().listS() * delayRandom.nextDouble(),
                    () -> gateway.updateDirectory(directory));
        }
    }

    // Samples.

    private void recordSample() {
        int attempts = 0;
        int runningJobs = 0;
        for (EmulatedServer server : servers) {
            attempts += server.attemptCount();
            runningJobs += server.runningJobs();
        }
        result.addSample(
                events.nowSeconds(),
                servers.size(),
                attempts,
                runningJobs,
                records.callsInProgress());
        if (events.nowSeconds() < scenario.seconds()) {
            events.schedule(SimulationResult.SAMPLE_INTERVAL_S, this::recordSample);
        }
    }
}
