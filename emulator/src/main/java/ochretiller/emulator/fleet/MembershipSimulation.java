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
 * Simulates the membership protocol of a fleet in virtual time: the server's own protocol code,
 * links that lose and delay packets, and processes that are killed and paused.
 */
public final class MembershipSimulation {
    /** Packets that the socket buffer of a paused process holds; further ones are lost. */
    private static final int MAX_QUEUED_PACKETS = 2_000;

    /** Interval at which the views are checked for being equal and correct, in seconds. */
    private static final double CHECK_INTERVAL_S = 0.1;

    /** Seconds for which the views must stay equal and correct to count as settled. */
    private static final double STABLE_S = 3;

    private static final double PEER_SAVE_INTERVAL_S = 1;

    /** Seconds after a kill within which repeated verdicts on a member belong to that kill. */
    private static final double SAME_FAULT_S = 30;

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final RandomStreams streams;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom linkRandom;
    private final SplittableRandom incarnationRandom;
    private final boolean measuresCost;
    private final double countingStartS;
    private final PacketCodec codec =
            new PacketCodec("emulated", FleetKeys.of("a key of the emulator's own"));
    private final Map<Integer, Host> hostsBySlot = new TreeMap<>();
    private final Map<PeerAddress, Host> hostsByAddress = new HashMap<>();
    private final Map<Long, Host> hostsByIncarnation = new HashMap<>();

    /** Peer addresses saved on disk, by slot number. */
    private final Map<Integer, List<PeerAddress>> savedPeers = new HashMap<>();

    private final FleetOutcome outcome = new FleetOutcome();
    private final Map<String, Integer> verdictCounts = new HashMap<>();
    private double settledSinceS = Double.NaN;
    private double lastKillS = Double.NEGATIVE_INFINITY;

    private final class Host {
        final FaultSchedule.Slot slot;
        final MembershipProtocol protocol;
        final BootstrapPeers bootstrapPeers;
        final Deque<MembershipPacket> queuedPackets = new ArrayDeque<>();
        final Set<Long> detectedIncarnations = new HashSet<>();
        final double startedS = events.nowSeconds();
        boolean isUp = true;
        boolean isPaused;
        boolean isLeaving;
        double stoppedS = Double.NaN;
        double pausedS = Double.NaN;
        double resumedS = Double.NEGATIVE_INFINITY;
        int currentSecond;
        int packetsInSecond;
        double bytesInSecond;

        Host(FaultSchedule.Slot slot, PeerAddress address) {
            this.slot = slot;
            List<PeerAddress> seedAddresses = new ArrayList<>();
            for (int i = 1; i <= scenario.seeds(); i++) {
                seedAddresses.add(address(i));
            }
            Member self =
                    new Member(
                            new MemberId(slot.name(), incarnationRandom.nextLong() | 1),
                            address,
                            "z" + slot.zone(),
                            "build-1",
                            Optional.empty(),
                            1,
                            MemberState.JOINING);
            // The protocol's clock starts with its process: no two servers have the same time.
            protocol =
                    new MembershipProtocol(
                            self,
                            seedAddresses,
                            protocolTiming(),
                            streams.stream("host " + slot.number() + " " + events.executedEvents()),
                            events.now());
            List<PeerAddress> previousPeers = savedPeers.getOrDefault(slot.number(), List.of());
            bootstrapPeers = new BootstrapPeers(address, previousPeers);
            protocol.setBootstrapPeers(previousPeers);
            events.schedule(PEER_SAVE_INTERVAL_S, this::savePeers);
        }

        /** Saves the addresses of known peers for the next start, as the server does. */
        void savePeers() {
            if (!isUp) {
                return;
            }
            if (!isPaused) {
                bootstrapPeers.observe(protocol.snapshot(), events.now());
                bootstrapPeers
                        .takeListToStore(events.now())
                        .ifPresent(peers -> savedPeers.put(slot.number(), peers));
            }
            events.schedule(PEER_SAVE_INTERVAL_S, this::savePeers);
        }

        void tick() {
            if (!isUp || isPaused) {
                return;
            }
            long startNanos = measuresCost ? System.nanoTime() : 0;
            protocol.tick(events.now());
            recordProtocolTime(startNanos);
            outcome.ticks++;
            processOutputs();
            scheduleTick();
        }

        void scheduleTick() {
            Duration wait = protocol.nextTick().minus(events.now());
            events.schedule(
                    wait.plus(
                            Duration.ofNanos(
                                    (long)
                                            (faults.processingDelayMs(
                                                            slot.number(), events.nowSeconds())
                                                    * 1e6))),
                    this::tick);
        }

        void receive(MembershipPacket packet) {
            if (!isUp) {
                return;
            }
            if (isPaused) {
                if (queuedPackets.size() < MAX_QUEUED_PACKETS) {
                    queuedPackets.add(packet);
                }
                return;
            }
            long startNanos = measuresCost ? System.nanoTime() : 0;
            protocol.receive(packet, events.now());
            recordProtocolTime(startNanos);
            processOutputs();
        }

        private void recordProtocolTime(long startNanos) {
            if (measuresCost && events.nowSeconds() >= countingStartS) {
                outcome.protocolNanos += System.nanoTime() - startNanos;
            }
        }

        void processOutputs() {
            for (OutboundPacket outbound : protocol.takeOutbound()) {
                deliver(this, outbound);
            }
            for (MembershipChange change : protocol.takeChanges()) {
                recordChange(this, change);
            }
        }

        boolean hasRunUnpausedFor(double durationS) {
            return !isPaused && events.nowSeconds() - resumedS > durationS;
        }
    }

    /** Creates a simulation that does not measure cost. */
    public MembershipSimulation(FleetScenario scenario, long seed) {
        this(scenario, seed, false, 0);
    }

    /**
     * Creates a simulation; {@link #run} starts it.
     *
     * @param measuresCost whether packet sizes, by sealing each packet, and the processing time of
     *     the protocol are measured
     * @param countingStartS virtual time in seconds from which they are measured
     */
    public MembershipSimulation(
            FleetScenario scenario, long seed, boolean measuresCost, double countingStartS) {
        this.countingStartS = countingStartS;
        this.scenario = scenario;
        this.schedule = FaultSchedule.of(scenario);
        this.streams = new RandomStreams(seed);
        this.faults = new LinkFaults(schedule, streams.stream("faults"));
        this.linkRandom = streams.stream("links");
        this.incarnationRandom = streams.stream("starts");
        this.measuresCost = measuresCost;
    }

    private ProtocolTiming protocolTiming() {
        return new ProtocolTiming(
                Duration.ofMillis(scenario.probeMs()),
                ProtocolTiming.DEFAULT.departedRetention(),
                ProtocolTiming.DEFAULT.maxDeparted());
    }

    private static PeerAddress address(int number) {
        return new PeerAddress("10.0." + number / 250 + '.' + (1 + number % 250), 4200);
    }

    /** Number of members in the views of all running servers, to calculate memory per member. */
    public int knownMemberCount() {
        int known = 0;
        for (Host host : hostsByIncarnation.values()) {
            if (host.isUp) {
                known += host.protocol.snapshot().size();
            }
        }
        return known;
    }

    /**
     * Runs to the end of the scenario; without cost measurement only until all faults are over and
     * the views have settled.
     */
    public FleetOutcome run() {
        for (FaultSchedule.Action action : schedule.actions()) {
            events.schedule(action.atS(), () -> perform(action));
        }
        events.schedule(CHECK_INTERVAL_S, this::checkViews);
        double endS = scenario.seconds();
        for (double startS = 0; startS < endS; startS += 1) {
            events.runUntil(Math.min(endS, startS + 1));
            // The views have settled and no fault is left: the rest of the scenario is idle.
            if (events.nowSeconds() > schedule.lastFaultEndS()
                    && !Double.isNaN(settledSinceS)
                    && events.nowSeconds() - settledSinceS > STABLE_S
                    && !measuresCost) {
                break;
            }
        }
        if (!Double.isNaN(settledSinceS)) {
            outcome.settleTimeS = Math.max(0, settledSinceS - schedule.lastFaultEndS());
        } else {
            addNote("unsettled");
        }
        for (Host host : hostsByIncarnation.values()) {
            outcome.refutations += host.protocol.counters().get(MembershipCounter.REFUTATIONS);
            outcome.suspicions += host.protocol.counters().get(MembershipCounter.SUSPICIONS);
            outcome.duplicateNames +=
                    (int) host.protocol.counters().get(MembershipCounter.DUPLICATE_NAMES);
            outcome.memberSeconds +=
                    (Double.isNaN(host.stoppedS) ? events.nowSeconds() : host.stoppedS)
                            - Math.max(countingStartS, host.startedS);
        }
        for (int times : verdictCounts.values()) {
            outcome.maxVerdictsPerPair = Math.max(outcome.maxVerdictsPerPair, times);
        }
        return outcome;
    }

    private void perform(FaultSchedule.Action action) {
        Host host = hostsBySlot.get(action.slot());
        switch (action.kind()) {
            case START -> {
                if (host != null && host.isUp) {
                    stop(host);
                }
                Host started =
                        new Host(
                                schedule.slots().get(action.slot() - 1), address(action.address()));
                hostsBySlot.put(action.slot(), started);
                Host previous = hostsByAddress.put(started.protocol.self().address(), started);
                if (previous != null && previous.isUp) {
                    stop(previous);
                }
                hostsByIncarnation.put(started.protocol.self().incarnation(), started);
                started.scheduleTick();
            }
            case KILL -> {
                if (host == null || !host.isUp) {
                    return;
                }
                stop(host);
                lastKillS = events.nowSeconds();
            }
            case IMAGE -> {}
            case PAUSE -> {
                if (host == null || !host.isUp) {
                    return;
                }
                host.isPaused = true;
                host.pausedS = events.nowSeconds();
            }
            case RESUME -> {
                if (host == null || !host.isUp || !host.isPaused) {
                    return;
                }
                host.isPaused = false;
                host.resumedS = events.nowSeconds();
                // The overdue timers of a resumed process fire before it reads a packet.
                host.tick();
                while (!host.queuedPackets.isEmpty() && host.isUp) {
                    host.receive(host.queuedPackets.poll());
                }
            }
            case LEAVE -> {
                if (host == null || !host.isUp || host.isPaused) {
                    return;
                }
                host.isLeaving = true;
                host.protocol.leave(events.now());
                host.processOutputs();
                events.schedule(
                        FaultSchedule.LEAVE_DURATION_S,
                        () -> {
                            if (host.isUp) {
                                stop(host);
                            }
                        });
            }
            default -> throw new IllegalStateException();
        }
    }

    private void stop(Host host) {
        host.isUp = false;
        host.stoppedS = events.nowSeconds();
        if (hostsByAddress.get(host.protocol.self().address()) == host) {
            hostsByAddress.remove(host.protocol.self().address());
        }
    }

    private void deliver(Host sender, OutboundPacket outbound) {
        if (measuresCost && events.nowSeconds() >= countingStartS) {
            countPacket(sender, outbound);
        }
        Host receiver = hostsByAddress.get(outbound.destination());
        if (receiver == null) {
            return;
        }
        for (LinkFaults.Copy copy :
                faults.deliveredCopies(
                        sender.slot.number(), receiver.slot.number(), events.nowSeconds())) {
            if (copy.isCorrupted()) {
                continue; // the receiver rejects a packet with an invalid seal
            }
            double ms =
                    scenario.delayMs()
                            + scenario.jitterMs() * linkRandom.nextDouble()
                            + copy.delayMs()
                            + faults.processingDelayMs(receiver.slot.number(), events.nowSeconds());
            events.schedule(
                    ms / 1e3,
                    () -> {
                        Host currentReceiver = hostsByAddress.get(outbound.destination());
                        if (currentReceiver != null) {
                            currentReceiver.receive(outbound.packet());
                        }
                    });
        }
    }

    private void countPacket(Host sender, OutboundPacket outbound) {
        int length = codec.seal(outbound.packet(), ++outcome.packets).length;
        outcome.bytes += length;
        if (sender.currentSecond != (int) events.nowSeconds()) {
            sender.currentSecond = (int) events.nowSeconds();
            sender.packetsInSecond = 0;
            sender.bytesInSecond = 0;
        }
        sender.packetsInSecond++;
        sender.bytesInSecond += length;
        outcome.maxPacketsPerSecond = Math.max(outcome.maxPacketsPerSecond, sender.packetsInSecond);
        outcome.maxBytesPerSecond = Math.max(outcome.maxBytesPerSecond, sender.bytesInSecond);
    }

    private void recordChange(Host observer, MembershipChange change) {
        if (!(change instanceof MembershipChange.StateChanged stateChange)
                || change.member().state() != MemberState.UNRESPONSIVE
                || stateChange.previousState().isEmpty()) {
            return;
        }
        outcome.verdicts++;
        Host subject = hostsByIncarnation.get(change.member().incarnation());
        if (subject == null) {
            return;
        }
        double now = events.nowSeconds();
        if (!subject.isUp) {
            if (subject.stoppedS <= lastKillS
                    && observer.detectedIncarnations.add(change.member().incarnation())
                    && !subject.isLeaving) {
                outcome.detectionMs.add((now - subject.stoppedS) * 1e3);
            }
            return;
        }
        String observerAndSubject = observer.slot.number() + " of " + change.member().id();
        verdictCounts.merge(observerAndSubject, 1, Integer::sum);
        Set<Integer> unreachable = schedule.unreachableSlots(now);
        unreachable.addAll(schedule.unreachableSlots(Math.max(0, now - 1)));
        boolean isExcused =
                subject.isPaused
                        || !subject.hasRunUnpausedFor(1)
                        || unreachable.contains(subject.slot.number())
                        || unreachable.contains(observer.slot.number());
        if (!isExcused) {
            outcome.falseVerdicts++;
            addNote(observerAndSubject + " falsely silent");
        }
    }

    private void addNote(String text) {
        if (outcome.notes.size() < 20) {
            outcome.notes.add(
                    String.format(java.util.Locale.ROOT, "%.2f s: %s", events.nowSeconds(), text));
        }
    }

    private void checkViews() {
        String mismatch = describeMismatch();
        if (mismatch != null) {
            settledSinceS = Double.NaN;
            if (events.nowSeconds() > scenario.seconds() - CHECK_INTERVAL_S * 1.5) {
                addNote(mismatch);
            }
        } else if (Double.isNaN(settledSinceS)) {
            settledSinceS = events.nowSeconds();
        }
        events.schedule(CHECK_INTERVAL_S, this::checkViews);
    }

    /** Describes why the views are not equal and correct; null if they are. */
    private String describeMismatch() {
        Set<Long> liveIncarnations = new TreeSet<>();
        List<Host> hosts = new ArrayList<>();
        for (Host host : hostsByIncarnation.values()) {
            if (!host.isUp || host.isLeaving) {
                continue;
            }
            if (host.isPaused) {
                return "one is paused";
            }
            hosts.add(host);
            liveIncarnations.add(host.protocol.self().incarnation());
        }
        long digest = hosts.isEmpty() ? 0 : hosts.get(0).protocol.digest();
        for (Host host : hosts) {
            if (host.protocol.self().state() != MemberState.ALIVE) {
                return host.slot.name() + " is " + host.protocol.self().state();
            }
            if (host.protocol.digest() != digest
                    || host.protocol.liveCount() != liveIncarnations.size() - 1) {
                return host.slot.name()
                        + " sees "
                        + describeView(host)
                        + " of "
                        + liveIncarnations.size();
            }
        }
        if (hosts.isEmpty()) {
            return null;
        }
        for (MemberSnapshot seen : hosts.get(0).protocol.snapshot()) {
            boolean live = seen.member().state().isLive();
            if (live != liveIncarnations.contains(seen.member().incarnation())) {
                return "views agree and are wrong on " + seen.member().id();
            }
        }
        return null;
    }

    private static String describeView(Host host) {
        StringBuilder text = new StringBuilder();
        for (MemberSnapshot seen : host.protocol.snapshot()) {
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
