package ochretiller.emulator.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.core.Seeds;
import ochretiller.emulator.rules.Rules;
import ochretiller.emulator.script.Script;
import ochretiller.model.CallEnd;
import ochretiller.model.Effect;
import ochretiller.model.Operation;
import ochretiller.settings.Lookup;

/**
 * All of one run: what there is, and what befalls it. One thread; the same script and seed give the
 * same run.
 */
public final class World {
    /**
     * Time behind the last arrival in which all must come to its end: beyond the longest client
     * timeout.
     */
    private static final double AFTER_S = 2;

    final Events events = new Events();
    final Seeds seeds;
    final Script script;
    final Rules rules = new Rules();
    final Map<String, Operation> operations = new LinkedHashMap<>();
    private final Lookup settings;
    private final List<Box> boxes = new ArrayList<>();
    private final Map<Integer, Integer> lives = new HashMap<>();
    private final List<Disk> disks = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Ledger ledger;
    private final SplittableRandom delays;
    private final SplittableRandom ledgerDelays;
    private final SplittableRandom arrivals;
    private final SplittableRandom returns;
    private final Map<Box, boolean[]> seen = new HashMap<>();
    private final Outcome outcome;
    private double rate = 1;

    /** Boxes of lower place are cut off. */
    private int cut;

    private long ids;
    private long tokens;

    public World(Script script, long seed) {
        this.script = script;
        this.seeds = new Seeds(seed);
        this.outcome = new Outcome(script);
        this.ledger = new Ledger(events, script.ledger(), seeds.of("ledger"));
        this.delays = seeds.of("network");
        this.ledgerDelays = seeds.of("network to the ledger");
        this.arrivals = seeds.of("arrivals");
        this.returns = seeds.of("returns");
        for (Script.Operation each : script.operations()) {
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

    private static Effect effect(String name) {
        return switch (name) {
            case "idempotent" -> Effect.IDEMPOTENT;
            case "tokened" -> Effect.TOKENED;
            default -> Effect.NON_IDEMPOTENT;
        };
    }

    private static Duration millis(double value) {
        return Duration.ofNanos((long) (value * 1e6));
    }

    /**
     * What an installation of this kind would have in its configuration, and over it what the
     * script says.
     */
    private Lookup settings() {
        Script.Fleet fleet = script.fleet();
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
    public Outcome play() {
        int places = script.fleet().boxes();
        for (int place = 0; place < places; place++) {
            disks.add(
                    script.fleet().remembers()
                            ? new Disk(events, script.fleet().forceMs() / 1e3)
                            : null);
            boxes.add(box(place, false));
        }
        Known first = new Known(boxes);
        for (int i = 0; i < script.gateways().count(); i++) {
            gateways.add(new Gateway(this, i, first));
        }
        look();
        for (int i = 0; i < script.incidents().size(); i++) {
            Script.Incident incident = script.incidents().get(i);
            SplittableRandom chance = seeds.of("incident " + i);
            events.after(incident.atS(), () -> happens(incident, chance));
        }
        arrives();
        sample();
        double longest =
                script.operations().stream()
                                .mapToDouble(Script.Operation::timeoutMs)
                                .max()
                                .orElse(0)
                        / 1e3;
        double back =
                script.operations().stream().mapToDouble(Script.Operation::backS).max().orElse(0);
        events.run(script.seconds() + 2 * longest + back + AFTER_S + script.fleet().stopS());
        rules.over(events.seconds());
        outcome.over(rules, events.done(), ledger.calls(), ledger.falls());
        return outcome;
    }

    private Box box(int place, boolean cold) {
        int life = lives.merge(place, 1, Integer::sum) - 1;
        return new Box(this, place, life, settings, cold, disks.get(place));
    }

    long nextId() {
        return ++ids;
    }

    /**
     * Something goes from a gateway to a box or back; what is cut off comes late or never, as a
     * lost packet's sender sees it.
     */
    void travel(Box box, Runnable then) {
        double span =
                (script.network().delayMs() + script.network().jitterMs() * delays.nextDouble())
                        / 1e3;
        if (box.place < cut) {
            return;
        }
        events.after(span, then);
    }

    void toLedger(Consumer<CallEnd.Result> then) {
        double there =
                (script.network().delayMs()
                                + script.network().jitterMs() * ledgerDelays.nextDouble())
                        / 1e3;
        events.after(
                there, () -> ledger.call(result -> events.after(there, () -> then.accept(result))));
    }

    /** Health as it was last looked at. */
    boolean seenHealthy(Box box) {
        boolean[] was = seen.get(box);
        return was == null || was[0];
    }

    private void look() {
        for (Box box : boxes) {
            seen.computeIfAbsent(box, b -> new boolean[1])[0] =
                    box.state == Box.State.UP && box.healthy && box.place >= cut;
        }
        seen.keySet().retainAll(boxes);
        events.after(script.gateways().healthMs() / 1e3, this::look);
    }

    // Arrivals.

    private void arrives() {
        double gap = Seeds.exponential(arrivals, 1 / script.traffic().perSecond());
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
        Script.Operation plan = script.at(arrivals.nextDouble());
        int callers = script.traffic().callers();
        boolean loud = arrivals.nextDouble() < script.traffic().skew();
        long caller =
                loud ? arrivals.nextInt(Math.max(1, callers / 10)) : arrivals.nextInt(callers);
        double work = Seeds.around(arrivals, plan.workMs() / 1e3, plan.spread());
        boolean comesBack = arrivals.nextDouble() < plan.repeats();
        double back = arrivals.nextDouble() * plan.backS();
        Operation operation = operations.get(plan.name());
        String token = operation.tokened() ? "t" + ++tokens : null;
        send(plan, operation, token, caller, work, comesBack ? back : -1, true);
    }

    private void send(
            Script.Operation plan,
            Operation operation,
            String token,
            long caller,
            double work,
            double back,
            boolean first) {
        double at = events.seconds();
        Ask[] made = new Ask[1];
        made[0] =
                new Ask(
                        plan,
                        operation,
                        token,
                        caller,
                        work,
                        at,
                        end -> {
                            outcome.ended(
                                    plan, caller, at, events.seconds(), end, made[0].tries, first);
                            if (end != Ask.End.SUCCEEDED && token != null && back >= 0) {
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

    private List<Box> some(double share, SplittableRandom chance) {
        List<Box> all = new ArrayList<>(boxes);
        int count = (int) Math.ceil(share * script.fleet().boxes());
        for (int i = all.size() - 1; i > 0; i--) {
            int other = chance.nextInt(i + 1);
            Box kept = all.get(i);
            all.set(i, all.get(other));
            all.set(other, kept);
        }
        return all.subList(0, Math.min(count, all.size()));
    }

    private void happens(Script.Incident incident, SplittableRandom chance) {
        List<Box> some = some(incident.share(), chance);
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
                    Box box = some.get(i);
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

    private void during(Script.Incident incident, Runnable begins, Runnable ends) {
        begins.run();
        events.after(incident.forS(), ends);
    }

    private void stall(Box box, boolean now) {
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

    void dies(Box box) {
        dies(box, 0);
    }

    /** It dies at once, and its successor comes up cold; gateways hear of both late. */
    private void dies(Box box, double away) {
        if (box.state == Box.State.DEAD) {
            return;
        }
        outcome.died(events.seconds());
        box.die();
        succeeds(box, away + script.fleet().bootS());
    }

    private void release(Box box) {
        if (box.state != Box.State.UP) {
            return;
        }
        box.leave();
        succeeds(box, script.fleet().stopS() + script.fleet().bootS());
    }

    private void succeeds(Box box, double later) {
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
        Known now = new Known(boxes);
        for (Gateway gateway : gateways) {
            events.after(
                    script.gateways().listS() * delays.nextDouble(), () -> gateway.learns(now));
        }
    }

    // What is looked at.

    private void sample() {
        int held = 0;
        int running = 0;
        for (Box box : boxes) {
            held += box.held();
            running += box.running();
        }
        outcome.sample(events.seconds(), boxes.size(), held, running, ledger.inUse());
        if (events.seconds() < script.seconds()) {
            events.after(Outcome.SAMPLE_S, this::sample);
        }
    }
}
