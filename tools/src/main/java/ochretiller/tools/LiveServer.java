package ochretiller.tools;

import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.emulator.scenario.Scenario;

/**
 * A packaged server for {@link LiveBench}, whose runs take the time that the scenario gives. It can
 * be slowed down, made to fail, stopped by signals and killed.
 */
final class LiveServer implements AutoCloseable {
    /** Time that a run takes if it fails. */
    private static final double FAILED_RUN_S = 0.001;

    final MeasuredServer server;
    final JsonRpcClient client;
    final Map<String, AtomicInteger> runsByToken = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor executor;
    private final SplittableRandom random;
    private volatile double slowdown = 1;
    private volatile double failureShare;

    LiveServer(Scenario scenario, int index, int incarnation, long seed) throws Exception {
        random = new RandomStreams(seed).stream("live box " + index + "." + incarnation);
        executor = new ScheduledThreadPoolExecutor(scenario.fleet().cores());
        Map<String, Scenario.Operation> operations =
                scenario.operations().stream()
                        .collect(Collectors.toMap(Scenario.Operation::name, each -> each));
        server = new MeasuredServer(null, json -> adaptConfig(json, scenario));
        server.fakeServices.runHandler =
                (rid, name, body) -> startRun(operations.get(name), rid, name, body);
        client = new JsonRpcClient(server.port, 30, String.format("%04x%04x", index, incarnation));
    }

    /** Returns the test configuration with the operations and the cores of the scenario. */
    private static String adaptConfig(String json, Scenario scenario) {
        StringBuilder classes = new StringBuilder();
        for (Scenario.Operation each : scenario.operations()) {
            if (classes.length() > 0) {
                classes.append(',');
            }
            classes.append(
                    String.format(
                            java.util.Locale.ROOT,
                            "{\"name\":\"%s\",\"effect\":\"%s\",\"aimNs\":%d,\"giveUpNs\":%d,\"importance\":%s,\"windowNs\":%d}",
                            each.name(),
                            each.effect().equals("tokened")
                                    ? "token"
                                    : each.effect().equals("idempotent") ? "pure" : "other",
                            (long) (each.objectiveMs() * 1e6),
                            (long) (each.timeoutMs() * 1e6),
                            each.value(),
                            (long) (each.windowMs() * 1e6)));
        }
        String falses =
                scenario.operations().stream()
                        .map(each -> "false")
                        .collect(Collectors.joining(","));
        String zeros =
                scenario.operations().stream().map(each -> "0").collect(Collectors.joining(","));
        return json.replaceFirst(
                        "(?s)\"classes\":\\[.*?\\],\\s*\"familyInfo\"",
                        "\"classes\":[" + classes + "],\"familyInfo\"")
                .replace("\"callsByClass\":[true,true]", "\"callsByClass\":[" + falses + "]")
                .replace("\"degradedWorth\":[0,0]", "\"degradedWorth\":[" + zeros + "]")
                .replace("\"cpus\":2", "\"cpus\":" + scenario.fleet().cores());
    }

    private void startRun(Scenario.Operation operation, String rid, String name, String body) {
        if (operation.effect().equals("tokened")) {
            runsByToken.computeIfAbsent(body, token -> new AtomicInteger()).incrementAndGet();
        }
        double seconds;
        boolean fails;
        synchronized (random) {
            fails = random.nextDouble() < failureShare;
            seconds =
                    fails
                            ? FAILED_RUN_S
                            : RandomStreams.logNormal(
                                    random, operation.workMs() / 1e3, operation.spread());
        }
        executor.execute(
                () -> {
                    try {
                        TimeUnit.NANOSECONDS.sleep((long) (seconds * slowdown * 1e9));
                        if (fails) {
                            server.fakeServices.sendNotice("complete", rid + " error 1 0\r\n\r\n");
                        } else {
                            server.fakeServices.complete(rid, "result of " + name);
                        }
                    } catch (IOException e) {
                        // the server was killed
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** Makes runs take this many times as long; 1 for the normal time. */
    void slow(double factor) {
        slowdown = factor;
    }

    /** Makes this share of the runs fail, 0 to 1. */
    void fail(double share) {
        failureShare = share;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + server.process.pid()).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        server.close();
        client.close();
        executor.shutdownNow();
    }
}
