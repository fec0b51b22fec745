package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.emulator.core.Events;
import ochretiller.emulator.core.Seeds;
import ochretiller.fleet.members.Acquaintances;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.members.Change;
import ochretiller.fleet.members.Member;
import ochretiller.fleet.members.MemberId;
import ochretiller.fleet.members.Members;
import ochretiller.fleet.members.Pace;
import ochretiller.fleet.members.Packet;
import ochretiller.fleet.members.Seen;
import ochretiller.fleet.members.Send;
import ochretiller.fleet.members.State;
import ochretiller.fleet.peers.Codec;
import ochretiller.fleet.peers.FleetKeys;

/**
 * A fleet in virtual time: each server's own decisions, links that lose and delay, processes that
 * die and pause.
 */
public final class FleetWorld {
    /** Packets that a socket keeps for a paused process. */
    private static final int ROOM = 2_000;

    /** How often it is looked at whether all views are equal and right. */
    private static final double LOOK_S = 0.1;

    /** Views that stay equal and right for so long have settled. */
    private static final double STAYS_S = 3;

    private static final double KEEPS_S = 1;

    /** A kill is one fault; a member that is judged again within this time of it counts to it. */
    private static final double FAULT_S = 30;

    private final FleetScript script;
    private final Plan plan;
    private final Seeds seeds;
    private final Events events = new Events();
    private final Faults faults;
    private final SplittableRandom links;
    private final SplittableRandom starts;
    private final boolean measure;
    private final double countS;
    private final Codec codec = new Codec("emulated", FleetKeys.of("a key of the emulator's own"));
    private final Map<Integer, Host> bySlot = new TreeMap<>();
    private final Map<Address, Host> byAddress = new HashMap<>();
    private final Map<Long, Host> byStart = new HashMap<>();

    /** What each slot's disk has of whom it saw. */
    private final Map<Integer, List<Address>> kept = new HashMap<>();

    private final FleetOutcome outcome = new FleetOutcome();
    private final Map<String, Integer> judged = new HashMap<>();
    private double settledSince = Double.NaN;
    private double lastKill = Double.NEGATIVE_INFINITY;

    private final class Host {
        final Plan.Slot slot;
        final Members members;
        final Acquaintances acquaintances;
        final Deque<Packet> waits = new ArrayDeque<>();
        final Set<Long> knows = new HashSet<>();
        final double startedS = events.seconds();
        boolean up = true;
        boolean paused;
        boolean leaves;
        double diedS = Double.NaN;
        double pausedS = Double.NaN;
        double resumedS = Double.NEGATIVE_INFINITY;
        int second;
        int packets;
        double bytes;

        Host(Plan.Slot slot, Address address) {
            this.slot = slot;
            List<Address> told = new ArrayList<>();
            for (int i = 1; i <= script.seeds(); i++) {
                told.add(address(i));
            }
            Member self =
                    new Member(
                            new MemberId(slot.name(), starts.nextLong() | 1),
                            address,
                            "z" + slot.zone(),
                            "build-1",
                            null,
                            1,
                            State.JOINING);
            // A server's clock begins with its process: no two servers have the same time.
            members =
                    new Members(
                            self,
                            told,
                            pace(),
                            seeds.of("host " + slot.number() + " " + events.done()),
                            events.now());
            List<Address> former = kept.getOrDefault(slot.number(), List.of());
            acquaintances = new Acquaintances(address, former);
            members.knew(former);
            events.after(KEEPS_S, this::keep);
        }

        /** Whom it sees is kept on its disk for its next start, as by the server. */
        void keep() {
            if (!up) {
                return;
            }
            if (!paused) {
                acquaintances.met(members.view(), events.now());
                List<Address> due = acquaintances.due(events.now());
                if (due != null) {
                    kept.put(slot.number(), due);
                }
            }
            events.after(KEEPS_S, this::keep);
        }

        void tick() {
            if (!up || paused) {
                return;
            }
            long began = measure ? System.nanoTime() : 0;
            members.tick(events.now());
            spent(began);
            outcome.ticks++;
            carryOut();
            schedule();
        }

        void schedule() {
            Duration wait = members.next().minus(events.now());
            events.after(
                    wait.plus(
                            Duration.ofNanos(
                                    (long) (faults.lateMs(slot.number(), events.seconds()) * 1e6))),
                    this::tick);
        }

        void take(Packet packet) {
            if (!up) {
                return;
            }
            if (paused) {
                if (waits.size() < ROOM) {
                    waits.add(packet);
                }
                return;
            }
            long began = measure ? System.nanoTime() : 0;
            members.received(packet, events.now());
            spent(began);
            carryOut();
        }

        private void spent(long began) {
            if (measure && events.seconds() >= countS) {
                outcome.decisionNanos += System.nanoTime() - began;
            }
        }

        void carryOut() {
            for (Send send : members.sends()) {
                deliver(this, send);
            }
            for (Change change : members.changes()) {
                changed(this, change);
            }
        }

        boolean unpausedFor(double span) {
            return !paused && events.seconds() - resumedS > span;
        }
    }

    /** A fleet whose cost is not counted. */
    public FleetWorld(FleetScript script, long seed) {
        this(script, seed, false, 0);
    }

    /**
     * A fleet that has not begun.
     *
     * @param measure whether each packet's bytes are counted, by sealing it, and time in the
     *     decisions too
     * @param countS from when on they are
     */
    public FleetWorld(FleetScript script, long seed, boolean measure, double countS) {
        this.countS = countS;
        this.script = script;
        this.plan = Plan.of(script);
        this.seeds = new Seeds(seed);
        this.faults = new Faults(plan, seeds.of("faults"));
        this.links = seeds.of("links");
        this.starts = seeds.of("starts");
        this.measure = measure;
    }

    private Pace pace() {
        return new Pace(
                Duration.ofMillis(script.probeMs()), Pace.USUAL.forget(), Pace.USUAL.mostGone());
    }

    private static Address address(int number) {
        return new Address("10.0." + number / 250 + '.' + (1 + number % 250), 4200);
    }

    /**
     * Views of all servers that are up, with all that they hold: for what they take of the memory.
     */
    public int views() {
        int known = 0;
        for (Host host : byStart.values()) {
            if (host.up) {
                known += host.members.view().size();
            }
        }
        return known;
    }

    /** Plays it to its end, or until all views have settled. */
    public FleetOutcome play() {
        for (Plan.Action action : plan.actions()) {
            events.after(action.atS(), () -> act(action));
        }
        events.after(LOOK_S, this::look);
        double until = script.seconds();
        for (double at = 0; at < until; at += 1) {
            events.run(Math.min(until, at + 1));
            // Settled for good, and nothing more is to come: what is left of the script shows
            // nothing.
            if (events.seconds() > plan.lastS()
                    && !Double.isNaN(settledSince)
                    && events.seconds() - settledSince > STAYS_S
                    && !measure) {
                break;
            }
        }
        if (!Double.isNaN(settledSince)) {
            outcome.settledS = Math.max(0, settledSince - plan.lastS());
        } else {
            note("unsettled");
        }
        for (Host host : byStart.values()) {
            outcome.refuted += host.members.counts().refuted;
            outcome.suspected += host.members.counts().suspected;
            outcome.twins += (int) host.members.counts().twins;
            outcome.memberSeconds +=
                    (Double.isNaN(host.diedS) ? events.seconds() : host.diedS)
                            - Math.max(countS, host.startedS);
        }
        for (int times : judged.values()) {
            outcome.changesEach = Math.max(outcome.changesEach, times);
        }
        return outcome;
    }

    private void act(Plan.Action action) {
        Host host = bySlot.get(action.slot());
        switch (action.act()) {
            case START -> {
                if (host != null && host.up) {
                    end(host);
                }
                Host fresh =
                        new Host(plan.slots().get(action.slot() - 1), address(action.address()));
                bySlot.put(action.slot(), fresh);
                Host before = byAddress.put(fresh.members.self().address(), fresh);
                if (before != null && before.up) {
                    end(before);
                }
                byStart.put(fresh.members.self().start(), fresh);
                fresh.schedule();
            }
            case KILL -> {
                if (host == null || !host.up) {
                    return;
                }
                end(host);
                lastKill = events.seconds();
            }
            case IMAGE -> {}
            case PAUSE -> {
                if (host == null || !host.up) {
                    return;
                }
                host.paused = true;
                host.pausedS = events.seconds();
            }
            case RESUME -> {
                if (host == null || !host.up || !host.paused) {
                    return;
                }
                host.paused = false;
                host.resumedS = events.seconds();
                // Its timers are long due and are looked at before the first packet is read.
                host.tick();
                while (!host.waits.isEmpty() && host.up) {
                    host.take(host.waits.poll());
                }
            }
            case LEAVE -> {
                if (host == null || !host.up || host.paused) {
                    return;
                }
                host.leaves = true;
                host.members.leave(events.now());
                host.carryOut();
                events.after(
                        Plan.LEAVES_S,
                        () -> {
                            if (host.up) {
                                end(host);
                            }
                        });
            }
            default -> throw new IllegalStateException();
        }
    }

    private void end(Host host) {
        host.up = false;
        host.diedS = events.seconds();
        if (byAddress.get(host.members.self().address()) == host) {
            byAddress.remove(host.members.self().address());
        }
    }

    private void deliver(Host from, Send send) {
        if (measure && events.seconds() >= countS) {
            count(from, send);
        }
        Host at = byAddress.get(send.to());
        if (at == null) {
            return;
        }
        for (Faults.Copy copy :
                faults.fate(from.slot.number(), at.slot.number(), events.seconds())) {
            if (copy.spoilt()) {
                continue; // its seal is broken: it is refused at the door
            }
            double ms =
                    script.delayMs()
                            + script.jitterMs() * links.nextDouble()
                            + copy.delayMs()
                            + faults.lateMs(at.slot.number(), events.seconds());
            events.after(
                    ms / 1e3,
                    () -> {
                        Host now = byAddress.get(send.to());
                        if (now != null) {
                            now.take(send.packet());
                        }
                    });
        }
    }

    private void count(Host from, Send send) {
        int bytes = codec.seal(send.packet(), ++outcome.packets).length;
        outcome.bytes += bytes;
        if (from.second != (int) events.seconds()) {
            from.second = (int) events.seconds();
            from.packets = 0;
            from.bytes = 0;
        }
        from.packets++;
        from.bytes += bytes;
        outcome.mostPackets = Math.max(outcome.mostPackets, from.packets);
        outcome.mostBytes = Math.max(outcome.mostBytes, from.bytes);
    }

    private void changed(Host host, Change change) {
        if (change.kind() != Change.Kind.STATE
                || change.member().state() != State.SILENT
                || change.before() == null) {
            return;
        }
        outcome.verdicts++;
        Host of = byStart.get(change.member().start());
        if (of == null) {
            return;
        }
        double now = events.seconds();
        if (!of.up) {
            if (of.diedS <= lastKill && host.knows.add(change.member().start()) && !of.leaves) {
                outcome.knownMs.add((now - of.diedS) * 1e3);
            }
            return;
        }
        String pair = host.slot.number() + " of " + change.member().id();
        judged.merge(pair, 1, Integer::sum);
        Set<Integer> unheard = plan.unheard(now);
        unheard.addAll(plan.unheard(Math.max(0, now - 1)));
        boolean excused =
                of.paused
                        || !of.unpausedFor(1)
                        || unheard.contains(of.slot.number())
                        || unheard.contains(host.slot.number());
        if (!excused) {
            outcome.falseVerdicts++;
            note(pair + " falsely silent");
        }
    }

    private void note(String text) {
        if (outcome.notes.size() < 20) {
            outcome.notes.add(
                    String.format(java.util.Locale.ROOT, "%.2f s: %s", events.seconds(), text));
        }
    }

    private void look() {
        String wrong = wrong();
        if (wrong != null) {
            settledSince = Double.NaN;
            if (events.seconds() > script.seconds() - LOOK_S * 1.5) {
                note(wrong);
            }
        } else if (Double.isNaN(settledSince)) {
            settledSince = events.seconds();
        }
        events.after(LOOK_S, this::look);
    }

    /** What keeps the views from being equal and right, or null. */
    private String wrong() {
        Set<Long> there = new TreeSet<>();
        List<Host> hosts = new ArrayList<>();
        for (Host host : byStart.values()) {
            if (!host.up || host.leaves) {
                continue;
            }
            if (host.paused) {
                return "one is paused";
            }
            hosts.add(host);
            there.add(host.members.self().start());
        }
        long digest = hosts.isEmpty() ? 0 : hosts.get(0).members.digest();
        for (Host host : hosts) {
            if (host.members.self().state() != State.HERE) {
                return host.slot.name() + " is " + host.members.self().state();
            }
            if (host.members.digest() != digest || host.members.live() != there.size() - 1) {
                return host.slot.name() + " sees " + seen(host) + " of " + there.size();
            }
        }
        if (hosts.isEmpty()) {
            return null;
        }
        for (Seen seen : hosts.get(0).members.view()) {
            boolean live = seen.member().state().live();
            if (live != there.contains(seen.member().start())) {
                return "views agree and are wrong on " + seen.member().id();
            }
        }
        return null;
    }

    private static String seen(Host host) {
        StringBuilder text = new StringBuilder();
        for (Seen seen : host.members.view()) {
            if (!seen.self()) {
                text.append(seen.member().id().name())
                        .append(' ')
                        .append(seen.member().state())
                        .append(' ')
                        .append(seen.member().number())
                        .append("; ");
            }
        }
        return text.toString();
    }
}
