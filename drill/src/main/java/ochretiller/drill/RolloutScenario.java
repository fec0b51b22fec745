package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainHead;
import ochretiller.audit.FleetTimeline;
import ochretiller.audit.VersionStatus;
import ochretiller.audit.files.AuditLog;
import ochretiller.audit.files.AuditLogReader;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeWorker;
import ochretiller.fakes.GatewayMessages;

/**
 * Rolls out configuration versions, one at a time, to servers with a fake worker while clients send
 * requests. A fault is injected at some step of each rollout, which is detected rather than timed,
 * and each case checks the outcomes that it expects.
 */
final class RolloutScenario implements AutoCloseable {
    private static final int SERVER_COUNT = 4;
    private static final long TIMEOUT_S = 60;
    private static final long POLL_MS = 50;

    /** Upper limit of the request rate at each server. */
    private static final int REQUESTS_PER_SECOND = 40;

    /** One in this many requests is a keyed order; the others are reads. */
    private static final int ORDER_INTERVAL = 8;

    /** Limit of unaudited runs: the last ones of a killed process may not have reached its disk. */
    private static final int MAX_MISSING_RUNS = 12;

    private final ScenarioRunner runner;
    private final Consumer<String> progress;
    private final FakeWorker worker;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final AtomicInteger counter = new AtomicInteger();
    private final AtomicLong readCount = new AtomicLong();
    private final AtomicLong succeededReads = new AtomicLong();
    private volatile boolean stopped;

    RolloutScenario(Path folder, Consumer<String> progress) throws IOException {
        this.progress = progress;
        worker = new FakeWorker("127.0.0.1", 0, request -> FakeWorker.ResponseMode.ANSWERS);
        FleetScenario scenario =
                FleetScenarioReader.parse(
                        "{ name: 'versions', seconds: 1000, members: "
                                + SERVER_COUNT
                                + ", zones: 2, seeds: "
                                + SERVER_COUNT
                                + ", copies: true, store: true }",
                        "versions");
        runner =
                new ScenarioRunner(scenario, 1, folder, true, true, progress)
                        .enableRollouts(poolSettings(worker.port(), 50) + ",");
    }

    private static String poolSettings(int port, int inFlight) {
        return "pools: { lookups: { workers: ['127.0.0.1:"
                + port
                + "'], most_in_flight: "
                + inFlight
                + ", runs: [ { operation: 'read', path: '/read' } ] } }";
    }

    /** Runs all cases and returns the violations, one line each. */
    List<String> run() throws Exception {
        runner.startServers((slot, body) -> runCounts.merge(body, 1, Integer::sum));
        for (int slot = 1; slot <= SERVER_COUNT; slot++) {
            startRequests(slot);
        }
        versionReachesAllServers();
        invalidVersionsAreRefused();
        pausedServerCatchesUp();
        publisherIsKilled();
        harmfulVersionIsRolledBack();
        stopped = true;
        auditLogsMatchRuns();
        return violations;
    }

    /** Sends requests to one server until the last case is over; counts successful reads. */
    private void startRequests(int slot) {
        DaemonThreads.start(
                () -> {
                    while (!stopped) {
                        Thread.sleep(1000 / REQUESTS_PER_SECOND);
                        ServerProcess server = runner.server(slot);
                        if (!server.ready || server.paused) {
                            continue;
                        }
                        try (FakeConnection connection =
                                new FakeConnection(
                                        new Socket(
                                                InetAddress.getLoopbackAddress(),
                                                server.clientPort))) {
                            while (!stopped && server.ready && !server.paused) {
                                int number = counter.incrementAndGet();
                                boolean keyed = number % ORDER_INTERVAL == 0;
                                String token =
                                        keyed
                                                ? String.format(
                                                        Locale.ROOT, "%032x", 5_000_000 + number)
                                                : null;
                                connection.send(
                                        GatewayMessages.message(
                                                number,
                                                keyed ? "order" : "read",
                                                GatewayMessages.params(
                                                        String.format("%016x", number),
                                                        token,
                                                        keyed ? token : "r" + number)));
                                String line = connection.readLine();
                                if (line == null) {
                                    break;
                                }
                                if (!keyed) {
                                    readCount.incrementAndGet();
                                    if (line.contains("\"result\"")) {
                                        succeededReads.incrementAndGet();
                                    }
                                }
                                Thread.sleep(1000 / REQUESTS_PER_SECOND);
                            }
                        } catch (IOException e) {
                            // the server was killed or paused: reconnects once it is back
                        }
                    }
                });
    }

    // ---- the cases

    private void versionReachesAllServers() throws Exception {
        beginCase("a version comes to all");
        long version = publish(1, poolSettings(worker.port(), 60), "more in flight");
        check(
                awaitStatus(
                        status ->
                                status.get("version").asLong() == version
                                        && status.get("state").asText().equals("DONE")),
                "it is not in force: " + status(1));
        check(allApply(Set.of(1, 2, 3, 4), version), "not all act on " + version);
    }

    private void invalidVersionsAreRefused() throws Exception {
        beginCase("one that cannot be acted on is refused on the spot");
        JsonNode response =
                runner.adminRequest(
                        runner.server(1),
                        "version-publish",
                        "drill\n"
                            + "wrong\n\n"
                            + "{ pools: { others: { workers: ['127.0.0.1:1'], runs: [ { operation:"
                            + " 'read', path: '/' } ] } } }");
        check(response.path("refused").asText().contains("lookups"), "another pool: " + response);
        response =
                runner.adminRequest(
                        runner.server(1), "version-publish", "drill\nwrong\n\nno version at all");
        check(!response.path("refused").asText().isEmpty(), "no JSON5: " + response);
        response =
                runner.adminRequest(
                        runner.server(4),
                        "version-publish",
                        "drill\nnot here\n\n{ " + poolSettings(worker.port(), 61) + " }");
        check(
                response.path("refused").asText().contains("no voter"),
                "at a server that is no voter: " + response);
    }

    /** Resumes a server after a rollout that it missed, with a keyed request already sent to it. */
    private void pausedServerCatchesUp() throws Exception {
        beginCase("paused through a version");
        runner.server(4).pause();
        long version = publish(2, poolSettings(worker.port(), 70), "while one sleeps");
        check(
                awaitStatus(
                        status ->
                                status.get("version").asLong() == version
                                        && status.get("state").asText().equals("DONE")),
                "it is not in force without the one that sleeps: " + status(1));
        String token = String.format(Locale.ROOT, "%032x", 77_000 + version);
        BlockingQueue<String> answer = sendKeyedRequest(4, token);
        runner.server(4).resume();
        String outcome = answer.poll(TIMEOUT_S, TimeUnit.SECONDS);
        check(
                !"succeeded".equals(outcome) || appliedVersion(4) == version,
                "it ran keyed work on what it slept through: " + outcome);
        check(allApply(Set.of(4), version), "it is not brought up");
        check(awaitKeyedSuccess(4), "it is not let in again");
        check(runCounts.getOrDefault(token, 0) <= 1, "runs: " + runCounts.get(token));
    }

    private void publisherIsKilled() throws Exception {
        beginCase("whoever published it is killed");
        long version = publish(1, poolSettings(worker.port(), 80), "and then its publisher dies");
        awaitStatus(2, status -> status.get("version").asLong() == version);
        runner.server(1).kill();
        check(
                awaitStatus(
                        2,
                        status ->
                                status.get("version").asLong() == version
                                        && status.get("state").asText().equals("DONE")),
                "nobody carried it on: " + status(2));
        runner.restart(1);
        check(
                runner.server(1).awaitReady() && allApply(Set.of(1), version),
                "its publisher does not act on it once it is back");
    }

    private void harmfulVersionIsRolledBack() throws Exception {
        beginCase("a version that does harm");
        long previousVersion = appliedVersion(1);
        String previousHash = status(1).get("hash").asText();
        int unusedPort = ServerProcess.freePort();
        long readsBefore = readCount.get();
        long succeededBefore = succeededReads.get();
        long version = publish(1, poolSettings(unusedPort, 80), "its workers do not exist");
        check(
                awaitStatus(
                        status ->
                                status.get("version").asLong() == version + 1
                                        && status.get("state").asText().equals("DONE")),
                "it is not taken back: " + status(1));
        check(allApply(Set.of(1, 2, 3, 4), version + 1), "not all act on what was before");
        check(
                status(1).get("hash").asText().equals(previousHash) && previousVersion < version,
                "what came back is not what was before");
        long readsDuring = readCount.get() - readsBefore;
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "of %d reads meanwhile %d were answered well",
                        readsDuring,
                        succeededReads.get() - succeededBefore));
        check(
                succeededReads.get() - succeededBefore > readsDuring / 2,
                "most reads were lost meanwhile");
    }

    /** Checks that all audit logs are intact and together have the runs of the fake processors. */
    private void auditLogsMatchRuns() throws Exception {
        beginCase("audits held against what was run");
        for (int slot = 1; slot <= SERVER_COUNT; slot++) {
            runner.server(slot).leave();
        }
        Map<String, List<ChainHead>> witnessedHeads = new HashMap<>();
        Map<String, AuditLog> auditLogs = new TreeMap<>();
        for (int slot = 1; slot <= SERVER_COUNT; slot++) {
            runner.server(slot).awaitExit();
            FleetTimeline.collectWitnessedHeads(
                    AuditLogReader.read(runner.server(slot).auditFolder(), List.of())
                            .decodedRecords(),
                    witnessedHeads);
        }
        FleetTimeline timeline = new FleetTimeline();
        for (int slot = 1; slot <= SERVER_COUNT; slot++) {
            String name = "m" + slot;
            AuditLog log =
                    AuditLogReader.read(
                            runner.server(slot).auditFolder(),
                            witnessedHeads.getOrDefault(name, List.of()));
            auditLogs.put(name, log);
            timeline.addServer(name, log.decodedRecords());
            check(log.faults().isEmpty(), "the audit of " + name + ": " + log.faults());
            check(
                    !witnessedHeads.getOrDefault(name, List.of()).isEmpty(),
                    "nobody knows where the audit of " + name + " ends");
        }
        int missing = 0;
        for (Map.Entry<String, Integer> run : runCounts.entrySet()) {
            int auditedRuns = timeline.runsOfToken(run.getKey()).size();
            if (auditedRuns > run.getValue()) {
                violations.add("the audits tell of more runs than there were of " + run.getKey());
            }
            if (auditedRuns < run.getValue()) {
                missing++;
            }
        }
        check(
                missing <= MAX_MISSING_RUNS,
                missing + " of " + runCounts.size() + " runs are in no audit");
        check(runCounts.size() > 50, "too few runs to tell anything: " + runCounts.size());
        long startMillis =
                auditLogs.values().stream()
                        .flatMap(log -> log.decodedRecords().stream())
                        .mapToLong(AuditRecord::startMillis)
                        .min()
                        .orElse(0);
        long endMillis =
                auditLogs.values().stream()
                        .flatMap(log -> log.decodedRecords().stream())
                        .mapToLong(AuditRecord::endMillis)
                        .max()
                        .orElse(0);
        check(
                timeline.stragglerMillis(startMillis, endMillis).getOrDefault("m4", 0L) > 0,
                "it is not told that m4 was behind");
        check(
                timeline.intervals(startMillis, endMillis).stream()
                        .anyMatch(
                                interval ->
                                        interval.server().equals("m1")
                                                && interval.status() == VersionStatus.UNKNOWN),
                "it is not told that m1 was away");
        progress.accept(
                runCounts.size()
                        + " runs, "
                        + missing
                        + " of them in no audit; "
                        + auditLogs.values().stream().mapToInt(log -> log.records().size()).sum()
                        + " records");
    }

    // ---- helpers

    private void beginCase(String name) {
        progress.accept("step: " + name);
    }

    private void check(boolean condition, String message) {
        if (!condition) {
            violations.add(message);
        }
    }

    private long publish(int slot, String settings, String reason) throws Exception {
        JsonNode response = null;
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadlineNanos;
                Thread.sleep(POLL_MS)) {
            response =
                    runner.adminRequest(
                            runner.server(slot),
                            "version-publish",
                            "drill\n" + reason + "\n\n{ " + settings + " }");
            if (response != null && response.has("published")) {
                return response.get("published").asLong();
            }
        }
        throw new IOException(
                "server "
                        + slot
                        + " published no version within "
                        + TIMEOUT_S
                        + " s; last response: "
                        + response);
    }

    private JsonNode status(int slot) {
        return runner.adminRequest(runner.server(slot), "version-status");
    }

    private long appliedVersion(int slot) {
        JsonNode status = status(slot);
        return status == null ? -1 : status.get("acts").asLong();
    }

    private boolean awaitStatus(Predicate<JsonNode> condition) throws InterruptedException {
        return awaitStatus(1, condition);
    }

    private boolean awaitStatus(int slot, Predicate<JsonNode> condition)
            throws InterruptedException {
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadlineNanos;
                Thread.sleep(POLL_MS)) {
            JsonNode status = status(slot);
            if (status != null && condition.test(status)) {
                return true;
            }
        }
        return false;
    }

    private boolean allApply(Set<Integer> slots, long version) throws InterruptedException {
        for (int slot : slots) {
            if (!awaitStatus(slot, status -> status.get("acts").asLong() == version)) {
                return false;
            }
        }
        return true;
    }

    /** Repeats keyed requests until one succeeds at the server; false after the timeout. */
    private boolean awaitKeyedSuccess(int slot) throws Exception {
        for (long deadlineNanos = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadlineNanos;
                Thread.sleep(POLL_MS)) {
            String outcome =
                    sendKeyedRequest(
                                    slot,
                                    String.format(
                                            Locale.ROOT,
                                            "%032x",
                                            1_000_000 + counter.incrementAndGet()))
                            .poll(TIMEOUT_S, TimeUnit.SECONDS);
            if ("succeeded".equals(outcome)) {
                return true;
            }
        }
        return false;
    }

    private BlockingQueue<String> sendKeyedRequest(int slot, String token) throws IOException {
        BlockingQueue<String> answer = new LinkedBlockingQueue<>();
        int number = counter.incrementAndGet();
        FakeConnection connection =
                new FakeConnection(
                        new Socket(
                                InetAddress.getLoopbackAddress(), runner.server(slot).clientPort));
        connection.send(
                GatewayMessages.message(
                        number,
                        "order",
                        GatewayMessages.params(String.format("%016x", number), token, token)));
        DaemonThreads.start(
                () -> {
                    try (connection) {
                        String line = connection.readLine();
                        answer.add(
                                line == null
                                        ? "broken"
                                        : line.contains("\"result\"")
                                                ? "succeeded"
                                                : line.contains("-32014")
                                                        ? "throttled"
                                                        : "errored");
                    }
                });
        return answer;
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        runner.close();
        worker.close();
    }
}
