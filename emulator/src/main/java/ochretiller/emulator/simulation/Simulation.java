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
 * All of one run: what there is, and what befalls it. One thread; the same script and seed give the
 * same run.
 */
public final class Simulation {
    /**
     * Time behind the last arrival in which all must come to its end: beyond the longest client
     * timeout.
     */
    private static final double AFTER_S = 2;

    final EventQueue events = new EventQueue();
    final RandomStreams seeds;
    final Scenario script;
    final RuleChecker rules = new RuleChecker();
    final Map<String, Operation> operations = new LinkedHashMap<>();
    private final SettingLookup settings;
    private final List<EmulatedServer> boxes = new ArrayList<>();
    private final Map<Integer, Integer> lives = new HashMap<>();
    private final List<DurableStorageModel> disks = new ArrayList<>();
    private final List<GatewayModel> gateways = new ArrayList<>();
    private final RecordsServiceModel ledger;
    private final SplittableRandom delays;
    private final SplittableRandom ledgerDelays;
    private final SplittableRandom arrivals;
    private final SplittableRandom returns;
    private final Map<EmulatedServer, boolean[]> seen = new HashMap<>();
    private final SimulationResult outcome;
    private double rate = 1;

    /** Boxes of lower place are cut off. */
    private int cut;

    private long ids;
    private long tokens;

    public Simulation(Scenario script, long seed) {
        this.script = script;
        this.seeds = new RandomStreams(seed);
        this.outcome = new SimulationResult(script);
        this.ledger = new RecordsServiceModel(events, script.ledger(), seeds.of("ledger"));
        this.delays = seeds.of("network");
        this.ledgerDelays = seeds.of("network to the ledger");
        this.arrivals = seeds.of("arrivals");
        this.returns = seeds.of("returns");
        for (Scenario.Operation each : script.operations()) {
            operations.put(
                    each.name(),
                    new Operation(
                            each.name(),
                            effect(each.effect()),
                            millis(each.objectiveMs()),
                            millis(each.timeoutMs()),
                            each.value(),
                            each.lateShare(),
                            millis(each.windowMs()),
                            each.calls(),
                            0));
        }
        this.settings = settings();
    }

    private static SideEffect effect(String name) {
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
     * What an installation of this kind would have in its configuration, and over it what the
     * script says.
     */
    private SettingLookup settings() {
        Scenario.Fleet fleet = script.fleet();
        Map<String, String> values = new HashMap<>();
        values.put("familyInfo.cpus", "" + fleet.cores());
        values.put("familyInfo.memoryKb", "" + fleet.memoryKb());
        values.put("familyInfo.runFactor", "" + fleet.runFactor());
        values.put("familyInfo.keyKb", "" + fleet.keyKb());
        values.put("familyInfo.callers", "" + script.gateways().count());
        values.put("familyInfo.halt", "abort");
        values.put("familyInfo.callsOut", "" + (double) script.ledger().slots() / fleet.boxes());
        values.put("familyInfo.shareSpanNs", "1000000000");
        values.put("peersTotal", "" + fleet.boxes());
        values.put("guarantees.fallMultiple", "" + fleet.fallsAt());
        values.put("guarantees.coldShare", "" + fleet.coldShare());
        values.put("guarantees.coldNs", "" + (long) (fleet.coldS() * 1e9));
        values.put("guarantees.stopSendingWithinNs", "" + (long) (fleet.graceS() * 1e9));
        values.put("permissions.retryAfter", "true");
        values.put("permissions.maxRetryAfterNs", "2000000000");
        values.putAll(script.settings());
        return values::get;
    }

    /** Seconds since its start. */
    public double time() {
        return events.seconds();
    }

    /** Plays it to its end. */
    public SimulationResult play() {
        int places = script.fleet().boxes();
        for (int place = 0; place < places; place++) {
            disks.add(
                    script.fleet().remembers()
                            ? new DurableStorageModel(events, script.fleet().forceMs() / 1e3)
                            : null);
            boxes.add(box(place, false));
        }
        ServiceDirectory first = new ServiceDirectory(boxes);
        for (int i = 0; i < script.gateways().count(); i++) {
            gateways.add(new GatewayModel(this, i, first));
        }
        look();
        for (int i = 0; i < script.incidents().size(); i++) {
            Scenario.Incident incident = script.incidents().get(i);
            SplittableRandom chance = seeds.of("incident " + i);
            events.after(incident.atS(), () -> happens(incident, chance));
        }
        arrives();
        sample();
        double longest =
                script.operations().stream()
                                .mapToDouble(Scenario.Operation::timeoutMs)
                                .max()
                                .orElse(0)
                        / 1e3;
        double back =
                script.operations().stream().mapToDouble(Scenario.Operation::backS).max().orElse(0);
        events.run(script.seconds() + 2 * longest + back + AFTER_S + script.fleet().stopS());
        rules.over(events.seconds());
        outcome.over(rules, events.done(), ledger.calls(), ledger.falls());
        return outcome;
    }

    private EmulatedServer box(int place, boolean cold) {
        int life = lives.merge(place, 1, Integer::sum) - 1;
        return new EmulatedServer(this, place, life, settings, cold, disks.get(place));
    }

    long nextId() {
        return ++ids;
    }

    /**
     * Something goes from a gateway to a box or back; what is cut off comes late or never, as a
     * lost packet's sender sees it.
     */
    void travel(EmulatedServer box, Runnable then) {
        double span =
                (script.network().delayMs() + script.network().jitterMs() * delays.nextDouble())
                        / 1e3;
        if (box.place < cut) {
            return;
        }
        events.after(span, then);
    }

    void toLedger(Consumer<CallOutcome.Status> then) {
        double there =
                (script.network().delayMs()
                                + script.network().jitterMs() * ledgerDelays.nextDouble())
                        / 1e3;
        events.after(
                there, () -> ledger.call(result -> events.after(there, () -> then.accept(result))));
    }

    /** Health as it was last looked at. */
    boolean seenHealthy(EmulatedServer box) {
        boolean[] was = seen.get(box);
        return was == null || was[0];
    }

    private void look() {
        for (EmulatedServer box : boxes) {
            seen.computeIfAbsent(box, b -> new boolean[1])[0] =
                    box.state == EmulatedServer.State.UP && box.healthy && box.place >= cut;
        }
        seen.keySet().retainAll(boxes);
        events.after(script.gateways().healthMs() / 1e3, this::look);
    }

    // Arrivals.

    private void arrives() {
        double gap = RandomStreams.exponential(arrivals, 1 / script.traffic().perSecond());
        // A burst draws no more chance than a calm spell does, so that two runs differ by the burst
        // alone.
        events.after(
                gap / rate,
                () -> {
                    if (events.seconds() >= script.seconds()) {
                        return;
                    }
                    ask();
                    arrives();
                });
    }

    private void ask() {
        Scenario.Operation plan = script.at(arrivals.nextDouble());
        int callers = script.traffic().callers();
        boolean loud = arrivals.nextDouble() < script.traffic().skew();
        long caller =
                loud ? arrivals.nextInt(Math.max(1, callers / 10)) : arrivals.nextInt(callers);
        double work = RandomStreams.around(arrivals, plan.workMs() / 1e3, plan.spread());
        boolean comesBack = arrivals.nextDouble() < plan.repeats();
        double back = arrivals.nextDouble() * plan.backS();
        Operation operation = operations.get(plan.name());
        String token = operation.isKeyed() ? "t" + ++tokens : null;
        send(plan, operation, token, caller, work, comesBack ? back : -1, true);
    }

    private void send(
            Scenario.Operation plan,
            Operation operation,
            String token,
            long caller,
            double work,
            double back,
            boolean first) {
        double at = events.seconds();
        ClientRequest[] made = new ClientRequest[1];
        made[0] =
                new ClientRequest(
                        plan,
                        operation,
                        token,
                        caller,
                        work,
                        at,
                        end -> {
                            outcome.ended(
                                    plan, caller, at, events.seconds(), end, made[0].tries, first);
                            if (end != ClientRequest.End.SUCCEEDED && token != null && back >= 0) {
                                events.after(
                                        back,
                                        () ->
                                                send(
                                                        plan, operation, token, caller, work, -1,
                                                        false));
                            }
                        });
        outcome.asked(plan, caller, at, first);
        gateways.get((int) (caller % gateways.size())).send(made[0]);
    }

    // Incidents.

    private List<EmulatedServer> some(double share, SplittableRandom chance) {
        List<EmulatedServer> all = new ArrayList<>(boxes);
        int count = (int) Math.ceil(share * script.fleet().boxes());
        for (int i = all.size() - 1; i > 0; i--) {
            int other = chance.nextInt(i + 1);
            EmulatedServer kept = all.get(i);
            all.set(i, all.get(other));
            all.set(other, kept);
        }
        return all.subList(0, Math.min(count, all.size()));
    }

    private void happens(Scenario.Incident incident, SplittableRandom chance) {
        List<EmulatedServer> some = some(incident.share(), chance);
        switch (incident.what()) {
            case "die" -> some.forEach(box -> dies(box, incident.forS()));
            case "pause" ->
                    during(
                            incident,
                            () -> some.forEach(box -> box.pause(true)),
                            () -> some.forEach(box -> box.pause(false)));
            case "slow" ->
                    during(
                            incident,
                            () -> some.forEach(box -> box.slow(incident.strength())),
                            () -> some.forEach(box -> box.slow(1)));
            case "fail" ->
                    during(
                            incident,
                            () -> some.forEach(box -> box.fail(Math.min(1, incident.strength()))),
                            () -> some.forEach(box -> box.fail(0)));
            case "release" -> {
                for (int i = 0; i < some.size(); i++) {
                    EmulatedServer box = some.get(i);
                    events.after(incident.forS() * i / some.size(), () -> release(box));
                }
            }
            case "burst" ->
                    during(
                            incident,
                            () -> rate *= incident.strength(),
                            () -> rate /= incident.strength());
            case "ledger-slow" ->
                    during(incident, () -> ledger.slow(incident.strength()), () -> ledger.slow(1));
            case "ledger-down" -> ledger.down(incident.forS());
            case "cut" ->
                    during(
                            incident,
                            () -> cut = (int) Math.ceil(incident.share() * script.fleet().boxes()),
                            () -> cut = 0);
            case "disk-stall" ->
                    during(
                            incident,
                            () -> some.forEach(box -> stall(box, true)),
                            () -> some.forEach(box -> stall(box, false)));
            case "retry-storm" ->
                    during(incident, () -> storm(incident.share(), true), () -> storm(1, false));
            default -> throw new IllegalStateException(incident.what());
        }
    }

    private void during(Scenario.Incident incident, Runnable begins, Runnable ends) {
        begins.run();
        events.after(incident.forS(), ends);
    }

    private void stall(EmulatedServer box, boolean now) {
        if (disks.get(box.place) != null) {
            disks.get(box.place).stall(now);
        }
    }

    private void storm(double share, boolean now) {
        int count = (int) Math.ceil(share * gateways.size());
        for (int i = 0; i < count; i++) {
            gateways.get(i).storms = now;
        }
    }

    void dies(EmulatedServer box) {
        dies(box, 0);
    }

    /** It dies at once, and its successor comes up cold; gateways hear of both late. */
    private void dies(EmulatedServer box, double away) {
        if (box.state == EmulatedServer.State.DEAD) {
            return;
        }
        outcome.died(events.seconds());
        box.die();
        succeeds(box, away + script.fleet().bootS());
    }

    private void release(EmulatedServer box) {
        if (box.state != EmulatedServer.State.UP) {
            return;
        }
        box.leave();
        succeeds(box, script.fleet().stopS() + script.fleet().bootS());
    }

    private void succeeds(EmulatedServer box, double later) {
        boxes.remove(box);
        tell();
        events.after(
                later,
                () -> {
                    // Whoever still has the place (a drain that took its whole time) has ended by
                    // now.
                    box.die();
                    boxes.add(box(box.place, true));
                    tell();
                });
    }

    private void tell() {
        ServiceDirectory now = new ServiceDirectory(boxes);
        for (GatewayModel gateway : gateways) {
            events.after(
                    script.gateways().listS() * delays.nextDouble(), () -> gateway.learns(now));
        }
    }

    // What is looked at.

    private void sample() {
        int held = 0;
        int running = 0;
        for (EmulatedServer box : boxes) {
            held += box.held();
            running += box.running();
        }
        outcome.sample(events.seconds(), boxes.size(), held, running, ledger.inUse());
        if (events.seconds() < script.seconds()) {
            events.after(SimulationResult.SAMPLE_S, this::sample);
        }
    }
}
