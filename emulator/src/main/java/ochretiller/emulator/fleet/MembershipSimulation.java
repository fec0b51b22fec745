package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.fleet.membership.BootstrapPeers;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipChange;
import ochretiller.fleet.membership.MembershipCounter;
import ochretiller.fleet.membership.MembershipPacket;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.membership.OutboundPacket;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.membership.ProtocolTiming;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;

/**
 * A fleet in virtual time: each server's own decisions, links that lose and delay, processes that
 * die and pause.
 */
public final class MembershipSimulation {
    /** Packets that a socket keeps for a paused process. */
    private static final int ROOM = 2_000;

    /** How often it is looked at whether all views are equal and right. */
    private static final double LOOK_S = 0.1;

    /** Views that stay equal and right for so long have settled. */
    private static final double STAYS_S = 3;

    private static final double KEEPS_S = 1;

    /** A kill is one fault; a member that is judged again within this time of it counts to it. */
    private static final double FAULT_S = 30;

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final RandomStreams seeds;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom links;
    private final SplittableRandom starts;
    private final boolean measure;
    private final double countS;
    private final PacketCodec codec =
            new PacketCodec("emulated", FleetKeys.of("a key of the emulator's own"));
    private final Map<Integer, Host> bySlot = new TreeMap<>();
    private final Map<PeerAddress, Host> byAddress = new HashMap<>();
    private final Map<Long, Host> byStart = new HashMap<>();

    /** What each slot's disk has of whom it saw. */
    private final Map<Integer, List<PeerAddress>> kept = new HashMap<>();

    private final FleetOutcome outcome = new FleetOutcome();
    private final Map<String, Integer> judged = new HashMap<>();
    private double settledSince = Double.NaN;
    private double lastKill = Double.NEGATIVE_INFINITY;

    private final class Host {
        final FaultSchedule.Slot slot;
        final MembershipProtocol members;
        final BootstrapPeers acquaintances;
        final Deque<MembershipPacket> waits = new ArrayDeque<>();
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

        Host(FaultSchedule.Slot slot, PeerAddress address) {
            this.slot = slot;
            List<PeerAddress> told = new ArrayList<>();
            for (int i = 1; i <= script.seeds(); i++) {
                told.add(address(i));
            }
            Member self =
                    new Member(
                            new MemberId(slot.name(), starts.nextLong() | 1),
                            address,
                            "z" + slot.zone(),
                            "build-1",
                            Optional.empty(),
                            1,
                            MemberState.JOINING);
            // A server's clock begins with its process: no two servers have the same time.
            members =
                    new MembershipProtocol(
                            self,
                            told,
                            pace(),
                            seeds.of("host " + slot.number() + " " + events.done()),
                            events.now());
            List<PeerAddress> former = kept.getOrDefault(slot.number(), List.of());
            acquaintances = new BootstrapPeers(address, former);
            members.addBootstrapPeers(former);
            events.after(KEEPS_S, this::keep);
        }

        /** Whom it sees is kept on its disk for its next start, as by the server. */
        void keep() {
            if (!up) {
                return;
            }
            if (!paused) {
                acquaintances.observe(members.snapshot(), events.now());
                acquaintances.takeDue(events.now()).ifPresent(due -> kept.put(slot.number(), due));
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
            Duration wait = members.nextTick().minus(events.now());
            events.after(
                    wait.plus(
                            Duration.ofNanos(
                                    (long) (faults.lateMs(slot.number(), events.seconds()) * 1e6))),
                    this::tick);
        }

        void take(MembershipPacket packet) {
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
            members.receive(packet, events.now());
            spent(began);
            carryOut();
        }

        private void spent(long began) {
            if (measure && events.seconds() >= countS) {
                outcome.decisionNanos += System.nanoTime() - began;
            }
        }

        void carryOut() {
            for (OutboundPacket send : members.takeOutbound()) {
                deliver(this, send);
            }
            for (MembershipChange change : members.takeChanges()) {
                changed(this, change);
            }
        }

        boolean unpausedFor(double span) {
            return !paused && events.seconds() - resumedS > span;
        }
    }

    /** A fleet whose cost is not counted. */
    public MembershipSimulation(FleetScenario script, long seed) {
        this(script, seed, false, 0);
    }

    /**
     * A fleet that has not begun.
     *
     * @param measure whether each packet's bytes are counted, by sealing it, and time in the
     *     decisions too
     * @param countS from when on they are
     */
    public MembershipSimulation(FleetScenario script, long seed, boolean measure, double countS) {
        this.countS = countS;
        this.script = script;
        this.plan = FaultSchedule.of(script);
        this.seeds = new RandomStreams(seed);
        this.faults = new LinkFaults(plan, seeds.of("faults"));
        this.links = seeds.of("links");
        this.starts = seeds.of("starts");
        this.measure = measure;
    }

    private ProtocolTiming pace() {
        return new ProtocolTiming(
                Duration.ofMillis(script.probeMs()),
                ProtocolTiming.DEFAULT.departedRetention(),
                ProtocolTiming.DEFAULT.maxDeparted());
    }

    private static PeerAddress address(int number) {
        return new PeerAddress("10.0." + number / 250 + '.' + (1 + number % 250), 4200);
    }

    /**
     * Views of all servers that are up, with all that they hold: for what they take of the memory.
     */
    public int views() {
        int known = 0;
        for (Host host : byStart.values()) {
            if (host.up) {
                known += host.members.snapshot().size();
            }
        }
        return known;
    }

    /** Plays it to its end, or until all views have settled. */
    public FleetOutcome play() {
        for (FaultSchedule.Action action : plan.actions()) {
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
            outcome.refuted += host.members.counters().get(MembershipCounter.REFUTATIONS);
            outcome.suspected += host.members.counters().get(MembershipCounter.SUSPICIONS);
            outcome.twins += (int) host.members.counters().get(MembershipCounter.DUPLICATE_NAMES);
            outcome.memberSeconds +=
                    (Double.isNaN(host.diedS) ? events.seconds() : host.diedS)
                            - Math.max(countS, host.startedS);
        }
        for (int times : judged.values()) {
            outcome.changesEach = Math.max(outcome.changesEach, times);
        }
        return outcome;
    }

    private void act(FaultSchedule.Action action) {
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
                byStart.put(fresh.members.self().incarnation(), fresh);
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
                        FaultSchedule.LEAVES_S,
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

    private void deliver(Host from, OutboundPacket send) {
        if (measure && events.seconds() >= countS) {
            count(from, send);
        }
        Host at = byAddress.get(send.destination());
        if (at == null) {
            return;
        }
        for (LinkFaults.Copy copy :
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
                        Host now = byAddress.get(send.destination());
                        if (now != null) {
                            now.take(send.packet());
                        }
                    });
        }
    }

    private void count(Host from, OutboundPacket send) {
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

    private void changed(Host host, MembershipChange change) {
        if (!(change instanceof MembershipChange.StateChanged stateChange)
                || change.member().state() != MemberState.UNRESPONSIVE
                || stateChange.previousState().isEmpty()) {
            return;
        }
        outcome.verdicts++;
        Host of = byStart.get(change.member().incarnation());
        if (of == null) {
            return;
        }
        double now = events.seconds();
        if (!of.up) {
            if (of.diedS <= lastKill
                    && host.knows.add(change.member().incarnation())
                    && !of.leaves) {
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
            there.add(host.members.self().incarnation());
        }
        long digest = hosts.isEmpty() ? 0 : hosts.get(0).members.digest();
        for (Host host : hosts) {
            if (host.members.self().state() != MemberState.ALIVE) {
                return host.slot.name() + " is " + host.members.self().state();
            }
            if (host.members.digest() != digest || host.members.liveCount() != there.size() - 1) {
                return host.slot.name() + " sees " + seen(host) + " of " + there.size();
            }
        }
        if (hosts.isEmpty()) {
            return null;
        }
        for (MemberSnapshot seen : hosts.get(0).members.snapshot()) {
            boolean live = seen.member().state().isLive();
            if (live != there.contains(seen.member().incarnation())) {
                return "views agree and are wrong on " + seen.member().id();
            }
        }
        return null;
    }

    private static String seen(Host host) {
        StringBuilder text = new StringBuilder();
        for (MemberSnapshot seen : host.members.snapshot()) {
            if (!seen.isSelf()) {
                text.append(seen.member().id().name())
                        .append(' ')
                        .append(seen.member().state())
                        .append(' ')
                        .append(seen.member().stateVersion())
                        .append("; ");
            }
        }
        return text.toString();
    }
}
