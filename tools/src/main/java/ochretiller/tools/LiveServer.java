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
 * One packaged server with stand-ins that take the time which a script says; it can be stopped,
 * slowed, killed.
 */
final class LiveServer implements AutoCloseable {
    /** A run that fails fast takes so long. */
    private static final double FAST_S = 0.001;

    final MeasuredServer served;
    final JsonRpcClient side;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor cores;
    private final SplittableRandom chance;
    private volatile double slower = 1;
    private volatile double failing;

    LiveServer(Scenario script, int place, int life, long seed) throws Exception {
        chance = new RandomStreams(seed).of("live box " + place + "." + life);
        cores = new ScheduledThreadPoolExecutor(script.fleet().cores());
        Map<String, Scenario.Operation> operations =
                script.operations().stream()
                        .collect(Collectors.toMap(Scenario.Operation::name, each -> each));
        served = new MeasuredServer(null, json -> configured(json, script));
        served.outside.runs = (rid, name, body) -> begun(operations.get(name), rid, name, body);
        side = new JsonRpcClient(served.port, 30, String.format("%04x%04x", place, life));
    }

    /** The test configuration with the script's operations and boxes in the place of its own. */
    private static String configured(String json, Scenario script) {
        StringBuilder classes = new StringBuilder();
        for (Scenario.Operation each : script.operations()) {
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
        String no =
                script.operations().stream().map(each -> "false").collect(Collectors.joining(","));
        String zero =
                script.operations().stream().map(each -> "0").collect(Collectors.joining(","));
        return json.replaceFirst(
                        "(?s)\"classes\":\\[.*?\\],\\s*\"familyInfo\"",
                        "\"classes\":[" + classes + "],\"familyInfo\"")
                .replace("\"callsByClass\":[true,true]", "\"callsByClass\":[" + no + "]")
                .replace("\"degradedWorth\":[0,0]", "\"degradedWorth\":[" + zero + "]")
                .replace("\"cpus\":2", "\"cpus\":" + script.fleet().cores());
    }

    private void begun(Scenario.Operation plan, String rid, String name, String body) {
        if (plan.effect().equals("tokened")) {
            runs.computeIfAbsent(body, token -> new AtomicInteger()).incrementAndGet();
        }
        double work;
        boolean fails;
        synchronized (chance) {
            fails = chance.nextDouble() < failing;
            work =
                    fails
                            ? FAST_S
                            : RandomStreams.around(chance, plan.workMs() / 1e3, plan.spread());
        }
        cores.execute(
                () -> {
                    try {
                        TimeUnit.NANOSECONDS.sleep((long) (work * slower * 1e9));
                        if (fails) {
                            served.outside.notice("complete", rid + " error 1 0\r\n\r\n");
                        } else {
                            served.outside.complete(rid, "result of " + name);
                        }
                    } catch (IOException e) {
                        // the server was killed
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    void slow(double times) {
        slower = times;
    }

    void fail(double share) {
        failing = share;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + served.process.pid()).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        served.close();
        side.close();
        cores.shutdownNow();
    }
}
