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
 * A script of the emulator, scaled down, in real time round packaged servers. Calls below, cuts,
 * disks and drains are not played: scripts with such incidents are refused.
 */
final class LiveBench {
    private static final List<String> PLAYED = List.of("die", "pause", "slow", "fail", "burst");

    private final Scenario script;
    private final long seed;
    private final SplittableRandom arrivals;
    private final SplittableRandom choices;
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(8);
    private final List<LiveServer> boxes = new CopyOnWriteArrayList<>();
    private final List<LiveServer> all = new CopyOnWriteArrayList<>();
    private final AtomicLong numbers = new AtomicLong();
    private final DoubleAdder offered = new DoubleAdder();
    private final DoubleAdder earned = new DoubleAdder();
    private final LongAdder ended = new LongAdder();
    private final Histogram took = new ConcurrentHistogram(3);
    private volatile double rate = 1;
    private long asked;
    private long tokens;

    LiveBench(Path file, int count, long seed) {
        Scenario whole = ScenarioReader.read(file);
        this.script = whole.scaled((double) count / whole.fleet().boxes());
        this.seed = seed;
        for (Scenario.Incident each : script.incidents()) {
            if (!PLAYED.contains(each.what())) {
                throw new MalformedException(
                        each.what() + " is not played live; " + PLAYED + " are");
            }
        }
        arrivals = new RandomStreams(seed).of("arrivals");
        choices = new RandomStreams(seed).of("gateways");
        timers.setRemoveOnCancelPolicy(true);
    }

    void run() throws Exception {
        for (int place = 0; place < script.fleet().boxes(); place++) {
            add(new LiveServer(script, place, 0, seed));
        }
        try {
            for (int i = 0; i < script.incidents().size(); i++) {
                Scenario.Incident each = script.incidents().get(i);
                SplittableRandom chance = new RandomStreams(seed).of("incident " + i);
                after(each.atS(), () -> happens(each, chance));
            }
            send();
            double longest =
                    script.operations().stream()
                                    .mapToDouble(Scenario.Operation::timeoutMs)
                                    .max()
                                    .orElse(0)
                            / 1e3;
            for (long until = System.nanoTime() + (long) ((longest + 2) * 1e9);
                    ended.sum() < asked && System.nanoTime() < until; ) {
                Thread.sleep(20);
            }
        } finally {
            timers.shutdownNow();
            for (LiveServer box : all) {
                box.close();
            }
        }
        long twice =
                all.stream()
                        .flatMap(box -> box.runs.values().stream())
                        .filter(count -> count.get() > 1)
                        .count();
        SimulationResult simulated = new Simulation(script, seed).play();
        ResultTable table =
                new ResultTable(
                        "live-" + script.name(),
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
        table.row(
                script.fleet().boxes(),
                asked,
                asked - ended.sum(),
                earned.sum() / offered.sum(),
                simulated.valueShare(),
                twice,
                took.getMean() / 1e3,
                simulated.took().getMean() / 1e3,
                took.getValueAtPercentile(95) / 1e3,
                simulated.tookMs(95));
        table.keep();
    }

    private interface Work {
        void run() throws Exception;
    }

    private void after(double seconds, Work work) {
        timers.schedule(
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        if (!timers.isShutdown()) {
                            e.printStackTrace();
                        }
                    }
                },
                (long) (seconds * 1e9),
                TimeUnit.NANOSECONDS);
    }

    private void add(LiveServer box) {
        all.add(box);
        boxes.add(box);
    }

    private void send() {
        long start = System.nanoTime();
        for (double at = 0; at < script.seconds(); ) {
            at += RandomStreams.exponential(arrivals, 1 / script.traffic().perSecond()) / rate;
            long due = start + (long) (at * 1e9);
            PreciseTimer.until(due);
            Scenario.Operation plan = script.at(arrivals.nextDouble());
            asked++;
            offered.add(plan.value());
            String token =
                    plan.effect().equals("tokened")
                            ? String.format("%016x%016x", seed, ++tokens)
                            : null;
            attempt(plan, token, due, 1, null);
        }
    }

    /** One try at one box, and what follows from its end. */
    private void attempt(
            Scenario.Operation plan, String token, long due, int tries, LiveServer not) {
        LiveServer box = choose(token, not);
        MeasuredRequest ask =
                new MeasuredRequest(
                        numbers.incrementAndGet(),
                        due,
                        token,
                        false,
                        plan.name(),
                        token == null ? "load" : token);
        CompletableFuture<MeasuredRequest.Outcome> end = ask.outcome;
        double left = plan.timeoutMs() / 1e3 - (System.nanoTime() - due) / 1e9;
        if (box == null) {
            ask.ends(MeasuredRequest.Outcome.NONE);
        } else {
            try {
                box.side.send(ask);
            } catch (java.io.IOException e) {
                ask.ends(MeasuredRequest.Outcome.NONE);
            }
        }
        after(
                Math.max(0, left),
                () ->
                        ask.ends(
                                MeasuredRequest.Outcome
                                        .VANISHED)); // its caller gives up; a late answer is a
        // surplus one
        end.thenAccept(
                outcome -> {
                    double spent = (System.nanoTime() - due) / 1e9;
                    boolean again =
                            outcome != MeasuredRequest.Outcome.SUCCEEDED
                                    && outcome != MeasuredRequest.Outcome.VANISHED
                                    && (outcome != MeasuredRequest.Outcome.ERRORED
                                            || token == null);
                    double pause = script.gateways().pauseMs() / 1e3;
                    if (again
                            && (script.gateways().tries() == 0 || tries < script.gateways().tries())
                            && spent + pause < plan.timeoutMs() / 1e3) {
                        after(pause, () -> attempt(plan, token, due, tries + 1, box));
                        return;
                    }
                    if (outcome == MeasuredRequest.Outcome.SUCCEEDED) {
                        took.recordValue(Math.max(1, (long) (spent * 1e6)));
                        earned.add(
                                plan.value()
                                        * (spent <= plan.objectiveMs() / 1e3
                                                ? 1
                                                : plan.lateShare()));
                    }
                    ended.increment();
                });
    }

    private synchronized LiveServer choose(String token, LiveServer not) {
        List<LiveServer> now = new ArrayList<>(boxes);
        if (now.isEmpty()) {
            return null;
        }
        if (token != null) {
            return now.get(Math.floorMod(token.hashCode(), now.size()));
        }
        if (now.size() > 1) {
            now.remove(not);
        }
        LiveServer one = now.get(choices.nextInt(now.size()));
        LiveServer other = now.get(choices.nextInt(now.size()));
        return script.gateways().choice().equals("random")
                        || one.side.openNow() <= other.side.openNow()
                ? one
                : other;
    }

    private void happens(Scenario.Incident incident, SplittableRandom chance) throws Exception {
        List<LiveServer> some = new ArrayList<>(boxes);
        int count = (int) Math.ceil(incident.share() * script.fleet().boxes());
        while (some.size() > count) {
            some.remove(chance.nextInt(some.size()));
        }
        Map<String, Runnable[]> plain =
                Map.of(
                        "slow",
                                new Runnable[] {
                                    () -> some.forEach(box -> box.slow(incident.strength())),
                                    () -> some.forEach(box -> box.slow(1))
                                },
                        "fail",
                                new Runnable[] {
                                    () -> some.forEach(box -> box.fail(incident.strength())),
                                    () -> some.forEach(box -> box.fail(0))
                                },
                        "burst",
                                new Runnable[] {
                                    () -> rate *= incident.strength(),
                                    () -> rate /= incident.strength()
                                });
        if (plain.containsKey(incident.what())) {
            plain.get(incident.what())[0].run();
            after(incident.forS(), plain.get(incident.what())[1]::run);
        } else if (incident.what().equals("pause")) {
            for (LiveServer box : some) {
                box.signal("STOP");
            }
            after(
                    incident.forS(),
                    () -> {
                        for (LiveServer box : some) {
                            box.signal("CONT");
                        }
                    });
        } else {
            for (LiveServer box : some) {
                boxes.remove(box);
                box.close();
            }
            for (int i = 0; i < some.size(); i++) {
                int place = i;
                after(
                        incident.forS() + script.fleet().bootS(),
                        () -> add(new LiveServer(script, place, all.size(), seed)));
            }
        }
    }
}
