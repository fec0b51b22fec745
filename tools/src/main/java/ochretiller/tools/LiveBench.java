package ochretiller.tools;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.scenario.ScenarioReader;
import ochretiller.emulator.simulation.Simulation;
import ochretiller.emulator.simulation.SimulationResult;
import ochretiller.settings.MalformedException;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Runs an emulator scenario, scaled down, in real time against packaged servers, without calls to
 * the records service. Scenarios with network cuts, disk stalls or drains are rejected.
 */
final class LiveBench {
    private static final List<String> SUPPORTED = List.of("die", "pause", "slow", "fail", "burst");

    private final Scenario scenario;
    private final long seed;
    private final SplittableRandom arrivalRandom;
    private final SplittableRandom choiceRandom;
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(8);
    private final List<LiveServer> activeServers = new CopyOnWriteArrayList<>();
    private final List<LiveServer> allServers = new CopyOnWriteArrayList<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final DoubleAdder offeredValue = new DoubleAdder();
    private final DoubleAdder earnedValue = new DoubleAdder();
    private final LongAdder endedCount = new LongAdder();
    private final Histogram latencyMicros = new ConcurrentHistogram(3);
    private volatile double rateFactor = 1;
    private long startedCount;
    private long lastToken;

    LiveBench(Path file, int serverCount, long seed) {
        Scenario original = ScenarioReader.read(file);
        this.scenario = original.scaledBy((double) serverCount / original.fleet().boxes());
        this.seed = seed;
        for (Scenario.Incident each : scenario.incidents()) {
            if (!SUPPORTED.contains(each.what())) {
                throw new MalformedException(
                        "incident " + each.what() + " is not supported, only " + SUPPORTED);
            }
        }
        arrivalRandom = new RandomStreams(seed).stream("arrivals");
        choiceRandom = new RandomStreams(seed).stream("gateways");
        timers.setRemoveOnCancelPolicy(true);
    }

    void run() throws Exception {
        for (int index = 0; index < scenario.fleet().boxes(); index++) {
            add(new LiveServer(scenario, index, 0, seed));
        }
        try {
            for (int i = 0; i < scenario.incidents().size(); i++) {
                Scenario.Incident each = scenario.incidents().get(i);
                SplittableRandom random = new RandomStreams(seed).stream("incident " + i);
                schedule(each.atS(), () -> startIncident(each, random));
            }
            send();
            double maxTimeoutSeconds =
                    scenario.operations().stream()
                                    .mapToDouble(Scenario.Operation::timeoutMs)
                                    .max()
                                    .orElse(0)
                            / 1e3;
            for (long deadline = System.nanoTime() + (long) ((maxTimeoutSeconds + 2) * 1e9);
                    endedCount.sum() < startedCount && System.nanoTime() < deadline; ) {
                Thread.sleep(20);
            }
        } finally {
            timers.shutdownNow();
            for (LiveServer server : allServers) {
                server.close();
            }
        }
        long ranTwice =
                allServers.stream()
                        .flatMap(server -> server.runsByToken.values().stream())
                        .filter(count -> count.get() > 1)
                        .count();
        SimulationResult simulated = new Simulation(scenario, seed).run();
        ResultTable table =
                new ResultTable(
                        "live-" + scenario.name(),
                        "boxes",
                        "asked",
                        "never ended",
                        "value share (sockets)",
                        "value share (simulated)",
                        "tokens run twice on a box",
                        "mean ms (sockets)",
                        "mean ms (simulated)",
                        "p95 ms (sockets)",
                        "p95 ms (simulated)");
        table.addRow(
                scenario.fleet().boxes(),
                startedCount,
                startedCount - endedCount.sum(),
                earnedValue.sum() / offeredValue.sum(),
                simulated.valueShare(),
                ranTwice,
                latencyMicros.getMean() / 1e3,
                simulated.latencies().getMean() / 1e3,
                latencyMicros.getValueAtPercentile(95) / 1e3,
                simulated.latencyMs(95));
        table.save();
    }

    private interface Task {
        void run() throws Exception;
    }

    private void schedule(double delaySeconds, Task task) {
        timers.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        if (!timers.isShutdown()) {
                            e.printStackTrace();
                        }
                    }
                },
                (long) (delaySeconds * 1e9),
                TimeUnit.NANOSECONDS);
    }

    private void add(LiveServer server) {
        allServers.add(server);
        activeServers.add(server);
    }

    private void send() {
        long start = System.nanoTime();
        for (double at = 0; at < scenario.seconds(); ) {
            at +=
                    RandomStreams.exponential(arrivalRandom, 1 / scenario.traffic().perSecond())
                            / rateFactor;
            long due = start + (long) (at * 1e9);
            PreciseTimer.waitUntil(due);
            Scenario.Operation operation = scenario.operationAt(arrivalRandom.nextDouble());
            startedCount++;
            offeredValue.add(operation.value());
            String token =
                    operation.effect().equals("tokened")
                            ? String.format("%016x%016x", seed, ++lastToken)
                            : null;
            attempt(operation, token, due, 1, null);
        }
    }

    /** Sends one attempt to one server; when it ends, retries it or records the result. */
    private void attempt(
            Scenario.Operation operation,
            String token,
            long due,
            int attemptNumber,
            LiveServer previous) {
        LiveServer server = choose(token, previous);
        MeasuredRequest request =
                new MeasuredRequest(
                        lastNumber.incrementAndGet(),
                        due,
                        token,
                        false,
                        operation.name(),
                        token == null ? "load" : token);
        CompletableFuture<MeasuredRequest.Outcome> end = request.outcome;
        double secondsLeft = operation.timeoutMs() / 1e3 - (System.nanoTime() - due) / 1e9;
        if (server == null) {
            request.end(MeasuredRequest.Outcome.UNANSWERED);
        } else {
            try {
                server.client.send(request);
            } catch (java.io.IOException e) {
                request.end(MeasuredRequest.Outcome.UNANSWERED);
            }
        }
        // The client times out: an answer after this counts as unexpected.
        schedule(Math.max(0, secondsLeft), () -> request.end(MeasuredRequest.Outcome.ABANDONED));
        end.thenAccept(
                outcome -> {
                    double spentSeconds = (System.nanoTime() - due) / 1e9;
                    boolean mayRetry =
                            outcome != MeasuredRequest.Outcome.SUCCEEDED
                                    && outcome != MeasuredRequest.Outcome.ABANDONED
                                    && (outcome != MeasuredRequest.Outcome.ERRORED
                                            || token == null);
                    double pauseSeconds = scenario.gateways().pauseMs() / 1e3;
                    if (mayRetry
                            && (scenario.gateways().tries() == 0
                                    || attemptNumber < scenario.gateways().tries())
                            && spentSeconds + pauseSeconds < operation.timeoutMs() / 1e3) {
                        schedule(
                                pauseSeconds,
                                () -> attempt(operation, token, due, attemptNumber + 1, server));
                        return;
                    }
                    if (outcome == MeasuredRequest.Outcome.SUCCEEDED) {
                        latencyMicros.recordValue(Math.max(1, (long) (spentSeconds * 1e6)));
                        earnedValue.add(
                                operation.value()
                                        * (spentSeconds <= operation.objectiveMs() / 1e3
                                                ? 1
                                                : operation.lateShare()));
                    }
                    endedCount.increment();
                });
    }

    private synchronized LiveServer choose(String token, LiveServer previous) {
        List<LiveServer> candidates = new ArrayList<>(activeServers);
        if (candidates.isEmpty()) {
            return null;
        }
        if (token != null) {
            return candidates.get(Math.floorMod(token.hashCode(), candidates.size()));
        }
        if (candidates.size() > 1) {
            candidates.remove(previous);
        }
        LiveServer first = candidates.get(choiceRandom.nextInt(candidates.size()));
        LiveServer second = candidates.get(choiceRandom.nextInt(candidates.size()));
        return scenario.gateways().choice().equals("random")
                        || first.client.openRequestCount() <= second.client.openRequestCount()
                ? first
                : second;
    }

    private void startIncident(Scenario.Incident incident, SplittableRandom random)
            throws Exception {
        List<LiveServer> affected = new ArrayList<>(activeServers);
        int count = (int) Math.ceil(incident.share() * scenario.fleet().boxes());
        while (affected.size() > count) {
            affected.remove(random.nextInt(affected.size()));
        }
        Map<String, Runnable[]> startAndEnd =
                Map.of(
                        "slow",
                                new Runnable[] {
                                    () -> affected.forEach(each -> each.slow(incident.strength())),
                                    () -> affected.forEach(each -> each.slow(1))
                                },
                        "fail",
                                new Runnable[] {
                                    () -> affected.forEach(each -> each.fail(incident.strength())),
                                    () -> affected.forEach(each -> each.fail(0))
                                },
                        "burst",
                                new Runnable[] {
                                    () -> rateFactor *= incident.strength(),
                                    () -> rateFactor /= incident.strength()
                                });
        if (startAndEnd.containsKey(incident.what())) {
            startAndEnd.get(incident.what())[0].run();
            schedule(incident.forS(), startAndEnd.get(incident.what())[1]::run);
        } else if (incident.what().equals("pause")) {
            for (LiveServer server : affected) {
                server.signal("STOP");
            }
            schedule(
                    incident.forS(),
                    () -> {
                        for (LiveServer server : affected) {
                            server.signal("CONT");
                        }
                    });
        } else {
            for (LiveServer server : affected) {
                activeServers.remove(server);
                server.close();
            }
            for (int i = 0; i < affected.size(); i++) {
                int index = i;
                schedule(
                        incident.forS() + scenario.fleet().bootS(),
                        () -> add(new LiveServer(scenario, index, allServers.size(), seed)));
            }
        }
    }
}
