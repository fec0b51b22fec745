package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.EpochConsensus;
import ochretiller.fleet.consensus.OutboundConsensusMessage;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.rollout.Lease;
import ochretiller.fleet.rollout.LeaseGrantor;
import ochretiller.fleet.rollout.OutboundChunkRequest;
import ochretiller.fleet.rollout.RolloutController;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.RolloutStages;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionDownload;
import ochretiller.fleet.rollout.VersionReport;

/**
 * A fleet to which versions are brought out, in virtual time: voters, rollouts, leases and the way
 * of the bytes are the server's own decisions; some versions do harm. It notes on what each keyed
 * run acted, and holds that against what was agreed on.
 */
public final class RolloutSimulation {
    private static final int VOTERS = 3;
    private static final int FACTOR = 3;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SPEAK = Duration.ofMillis(500);
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final Duration GRACE = Duration.ofSeconds(3);
    private static final Duration WATCH = Duration.ofSeconds(4);
    private static final Duration PATIENCE = Duration.ofSeconds(6);

    /**
     * What is in force for a server is so at a voter by then: an epoch's way, a report's, and that
     * of the doubt whether it is late.
     */
    private static final double SLACK_S = 2.5;

    private static final double READ_EVERY_S = 0.05;

    /** Shares of answers that are errored: usually, and where a version does harm. */
    private static final double USUAL = 0.02;

    private static final double HARM = 0.25;
    private static final int SIZE = 3 * VersionDownload.CHUNK_BYTES - 100;
    private static final int ROOM = 2_000;

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom links;
    private final SplittableRandom chance;
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final Set<Long> harmful = new HashSet<>();

    /** When each epoch was first known to be agreed on. */
    private final TreeMap<Double, ReplicaPlacement> agreed = new TreeMap<>();

    private final Outcomes outcomes = new Outcomes();
    private final ReplicaPlacement first;
    private final boolean leases;
    private long publications;

    /** What was seen. */
    public static final class Outcomes {
        public int published;
        public int harmless;
        public int harmlessStopped;
        public int harmfulOnes;
        public int harmfulStopped;

        /** Of those: stopped before all servers acted on them. */
        public int stoppedEarly;

        public long runs;
        public long refusedRuns;
        public long messages;

        /**
         * From the last fault, or the last word, until all live servers act on what is in force;
         * infinite where they do not come to.
         */
        public double settledS = Double.POSITIVE_INFINITY;

        /** From each publication until it was in force everywhere. */
        public final List<Double> rolloutS = new ArrayList<>();

        public final List<String> broken = new ArrayList<>();

        /** What kept a fleet from settling. */
        public final List<String> notes = new ArrayList<>();
    }

    private record Sent(String from, Object message) {}

    private final class Host {
        final int number;
        final String name;
        boolean up;
        boolean paused;
        long life;
        ReplicaPlacement layout = first;
        PublishedVersion acting = PublishedVersion.NONE;
        final Set<String> bytes = new HashSet<>();
        final Map<Long, VersionCounters> counts = new HashMap<>();
        final Deque<Sent> waits = new ArrayDeque<>();
        EpochConsensus voter;
        AcceptorState disk =
                new AcceptorState(first, Ballot.NONE, Ballot.NONE, Optional.empty(), 0);
        Lease lease;
        LeaseGrantor door;
        RolloutController rollouts;
        VersionDownload gather;
        final Map<String, VersionReport> reports = new HashMap<>();
        RolloutState wished;

        /** When this process came to know of epochs. */
        final TreeMap<Long, Double> knew = new TreeMap<>();

        double attemptedS = -10;

        /** When it was last seen to act on something else than what is in force for it. */
        double lateS = Double.NEGATIVE_INFINITY;

        Host(int number) {
            this.number = number;
            this.name = "m" + number;
        }

        void start() {
            up = true;
            paused = false;
            life++;
            waits.clear();
            counts.clear();
            reports.clear();
            wished = null;
            Set<String> names = new HashSet<>();
            for (int i = 1; i <= Math.min(VOTERS, script.members()); i++) {
                names.add("m" + i);
            }
            voter =
                    names.contains(name)
                            ? EpochConsensus.resume(name, names, disk, chance.nextLong())
                            : null;
            layout = voter != null ? voter.committed() : layout;
            knew.clear();
            knew.put(layout.epoch(), events.seconds());
            lease = new Lease(names, LEASE, chance.nextLong() >>> 16);
            door = new LeaseGrantor(GRACE, chance.split());
            rollouts = new RolloutController(WATCH, PATIENCE, true);
            gather = new VersionDownload(chance.split());
            tick(life);
            speak(life);
            read(life);
        }

        void end() {
            if (voter != null) {
                disk = voter.durableState();
            }
            up = false;
        }

        private void tick(long mine) {
            if (!up || life != mine) {
                return;
            }
            if (!paused) {
                Duration now = events.now();
                for (OutboundChunkRequest ask : gather.tick(sources(), now)) {
                    send(ask.recipient(), ask.request());
                }
                if (voter != null) {
                    vote();
                }
            }
            events.after(
                    TICK.plus(
                            Duration.ofNanos(
                                    (long) (faults.lateMs(number, events.seconds()) * 1e6))),
                    () -> tick(mine));
        }

        private List<String> sources() {
            List<String> all = new ArrayList<>();
            if (gather.isIncomplete()) {
                for (Host each : hosts.values()) {
                    if (each.up
                            && each != this
                            && (each.voter != null || RolloutStages.includes(layout, each.name))) {
                        all.add(each.name);
                    }
                }
            }
            return all;
        }

        private void vote() {
            Set<String> live = new HashSet<>();
            for (Host each : hosts.values()) {
                if (each.up && !each.paused) {
                    live.add(each.name);
                }
            }
            reports.keySet().retainAll(live);
            if (voter.isProposing() && events.seconds() - attemptedS < 1
                    || chance.nextInt(10) != 0) {
                return;
            }
            ReplicaPlacement now = voter.committed();
            RolloutState next =
                    wished != null
                            ? wished
                            : rollouts.nextState(now, live, events.now()).orElse(null);
            if (next == null) {
                return;
            }
            attemptedS = events.seconds();
            voter.propose(now.with(next));
            carryOut();
        }

        private void speak(long mine) {
            if (!up || life != mine) {
                return;
            }
            if (!agreed.isEmpty()
                    && acting.number()
                            != RolloutStages.targetVersion(agreed.lastEntry().getValue(), name)
                                    .number()) {
                lateS = events.seconds();
            }
            if (!paused) {
                RolloutState rollout = layout.rollout();
                VersionCounters before =
                        rollout.previous().number() == rollout.target().number()
                                ? VersionCounters.ZERO
                                : counts.getOrDefault(
                                        rollout.previous().number(), VersionCounters.ZERO);
                VersionReport report =
                        new VersionReport(
                                acting.number(),
                                acting.hash(),
                                0,
                                "",
                                rollout.target().number(),
                                counts.getOrDefault(
                                        rollout.target().number(), VersionCounters.ZERO),
                                before);
                RolloutMessage.StatusReport tell =
                        new RolloutMessage.StatusReport(
                                lease.startRenewal(events.now()), report, 0, "");
                for (int i = 1; i <= Math.min(VOTERS, script.members()); i++) {
                    if (i == number) {
                        received(name, tell);
                    } else {
                        send("m" + i, tell);
                    }
                }
                if (voter != null) {
                    for (int i = 0; i < 4; i++) {
                        Host to = hosts.get(1 + chance.nextInt(hosts.size()));
                        if (to != this) {
                            send(to.name, new ConsensusMessage.Committed(voter.committed()));
                        }
                    }
                }
            }
            events.after(SPEAK, () -> speak(mine));
        }

        /** A keyed invocation is read, and begun if this server may. */
        private void read(long mine) {
            if (!up || life != mine) {
                return;
            }
            if (!paused) {
                boolean may = !leases || lease.isHeld(events.now());
                if (may) {
                    ran();
                } else {
                    outcomes.refusedRuns++;
                }
            }
            events.after(READ_EVERY_S * (0.5 + chance.nextDouble()), () -> read(mine));
        }

        private void ran() {
            outcomes.runs++;
            boolean bad = chance.nextDouble() < (harmful.contains(acting.number()) ? HARM : USUAL);
            counts.merge(
                    acting.number(),
                    new VersionCounters(1, 0, bad ? 1 : 0, 0, bad ? 0 : 1, 1),
                    VersionCounters::plus);
            String wrong = wrong(this);
            if (wrong != null && outcomes.broken.size() < 20) {
                outcomes.broken.add(
                        String.format(Locale.ROOT, "%.3f s: %s", events.seconds(), wrong));
            }
        }

        void take(Sent sent) {
            if (!up) {
                return;
            }
            if (paused) {
                if (waits.size() < ROOM) {
                    waits.add(sent);
                }
                return;
            }
            received(sent.from, sent.message);
        }

        private void received(String from, Object message) {
            Duration now = events.now();
            if (message instanceof ConsensusMessage word) {
                if (voter != null) {
                    voter.receive(from, word);
                }
                if (word instanceof ConsensusMessage.Committed told) {
                    learn(told.placement());
                }
            } else if (message instanceof RolloutMessage.StatusReport tell) {
                rollouts.recordReport(from, tell.report());
                reports.put(from, tell.report());
                boolean may = door.renew(layout, from, reports, now);
                if (from.equals(name)) {
                    if (may) {
                        lease.recordGrant(name, tell.requestId());
                    }
                } else {
                    send(from, new RolloutMessage.LeaseReply(tell.requestId(), may));
                    // As a standing does: who reports on an older version has missed the epoch.
                    if (tell.report().rolloutVersion() < layout.rollout().target().number()) {
                        send(from, new ConsensusMessage.Committed(layout));
                    }
                }
            } else if (message instanceof RolloutMessage.LeaseReply renewed) {
                if (renewed.granted()) {
                    lease.recordGrant(from, renewed.requestId());
                }
            } else if (message instanceof RolloutMessage.ChunkRequest want) {
                if (bytes.contains(want.hash())) {
                    VersionDownload.slice(want, new byte[SIZE])
                            .ifPresent(piece -> send(from, piece));
                }
            } else if (message instanceof RolloutMessage.Chunk piece) {
                gather.accept(piece, now)
                        .ifPresent(
                                all -> {
                                    bytes.add(piece.hash());
                                    follow();
                                });
                for (OutboundChunkRequest ask : gather.tick(sources(), now)) {
                    send(ask.recipient(), ask.request());
                }
            }
            carryOut();
        }

        private void learn(ReplicaPlacement next) {
            if (next.epoch() <= layout.epoch()) {
                return;
            }
            layout = next;
            door.adoptPlacement(next, events.now());
            knew.put(next.epoch(), events.seconds());
            if (next.rollout().equals(wished)) {
                wished = null;
            }
            follow();
        }

        private void follow() {
            PublishedVersion target = RolloutStages.targetVersion(layout, name);
            if (target.number() == acting.number()) {
                return;
            }
            if (!target.usesLocalFiles() && !bytes.contains(target.hash())) {
                gather.start(target, events.now());
            } else {
                acting = target;
            }
        }

        void carryOut() {
            if (voter == null) {
                return;
            }
            if (voter.committed().epoch() > layout.epoch()) {
                learn(voter.committed());
            }
            // A majority may have accepted it before anybody knows: what is agreed on is so from
            // the first that does.
            ReplicaPlacement known = voter.committed();
            if (agreed.isEmpty() || known.epoch() > agreed.lastEntry().getValue().epoch()) {
                agreedOn(known);
            }
            for (OutboundConsensusMessage out : voter.takeOutbound()) {
                if (out.recipient().isPresent()) {
                    send(out.recipient().get(), out.message());
                } else {
                    for (Host each : hosts.values()) {
                        if (each != this
                                && (each.voter != null
                                        || out.message() instanceof ConsensusMessage.Committed)) {
                            send(each.name, out.message());
                        }
                    }
                }
            }
        }

        private void send(String to, Object message) {
            outcomes.messages++;
            int other = Integer.parseInt(to.substring(1));
            for (LinkFaults.Copy copy : faults.fate(number, other, events.seconds())) {
                if (copy.spoilt()) {
                    continue;
                }
                double ms =
                        script.delayMs()
                                + script.jitterMs() * links.nextDouble()
                                + copy.delayMs()
                                + faults.lateMs(other, events.seconds());
                events.after(ms / 1e3, () -> hosts.get(other).take(new Sent(name, message)));
            }
        }
    }

    /**
     * @param leases whether servers heed them; without, stragglers are to be seen
     */
    public RolloutSimulation(FleetScenario script, long seed, boolean leases) {
        this.script = script;
        this.plan = FaultSchedule.of(script);
        this.leases = leases;
        RandomStreams seeds = new RandomStreams(seed);
        this.faults = new LinkFaults(plan, seeds.of("faults"));
        this.links = seeds.of("links");
        this.chance = seeds.of("versions");
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 1; i <= Math.min(script.members(), ReplicaPlacement.MAX_SERVERS); i++) {
            servers.add(new ReplicaServer("m" + i, "z" + script.zone(i)));
        }
        servers.sort(Comparator.comparing(ReplicaServer::name));
        this.first = new ReplicaPlacement(1, servers, servers, FACTOR);
    }

    private void agreedOn(ReplicaPlacement layout) {
        RolloutState before =
                agreed.isEmpty() ? RolloutState.NONE : agreed.lastEntry().getValue().rollout();
        RolloutState now = layout.rollout();
        agreed.put(events.seconds(), layout);
        boolean back =
                now.isComplete()
                        && now.target().number() == before.target().number() + 1
                        && !before.isComplete();
        if (back || now.phase() == RolloutPhase.HALTED && before.phase() == RolloutPhase.RUNNING) {
            boolean harm = harmful.contains(before.target().number());
            if (!harm) {
                outcomes.harmlessStopped++;
            } else {
                outcomes.harmfulStopped++;
            }
            if (harm && before.stage() < RolloutStages.ALL_SERVERS) {
                outcomes.stoppedEarly++;
            }
        }
        if (now.isComplete() && !before.isComplete() && !back) {
            outcomes.rolloutS.add(events.seconds() - startedS);
        }
    }

    private double startedS;

    /** Plays it, with so many publications spread over its faults and somewhat behind them. */
    public Outcomes play(int count, double harmShare) {
        for (FaultSchedule.Slot slot : plan.slots()) {
            hosts.put(slot.number(), new Host(slot.number()));
        }
        for (FaultSchedule.Action action : plan.actions()) {
            events.after(action.atS(), () -> act(action));
        }
        double lastFault = plan.lastS();
        for (int i = 0; i < count; i++) {
            events.after(3 + 24.0 * i, () -> publish(chance.nextDouble() < harmShare, 40));
        }
        double words = 3 + 24.0 * count;
        double end = Math.max(lastFault, words) + 60;
        events.after(Math.max(lastFault, words), this::look);
        lastWordS = Math.max(lastFault, words);
        events.run(end);
        if (Double.isInfinite(outcomes.settledS)) {
            StringBuilder text =
                    new StringBuilder(
                            "unsettled: "
                                    + (agreed.isEmpty() ? first : agreed.lastEntry().getValue()));
            for (Host each : hosts.values()) {
                text.append("; ")
                        .append(each.name)
                        .append(each.up ? each.paused ? " paused" : "" : " down")
                        .append(" epoch ")
                        .append(each.layout.epoch())
                        .append(" acts ")
                        .append(each.acting.number())
                        .append(
                                each.lease != null && each.lease.isHeld(events.now())
                                        ? ""
                                        : " no lease");
            }
            outcomes.notes.add(text.toString());
        }
        return outcomes;
    }

    private double lastWordS;

    private void look() {
        ReplicaPlacement now = agreed.isEmpty() ? first : agreed.lastEntry().getValue();
        boolean settled =
                now.rollout().isComplete() || now.rollout().phase() == RolloutPhase.HALTED;
        for (Host each : hosts.values()) {
            if (each.up && !each.paused) {
                settled &=
                        each.acting.number() == RolloutStages.targetVersion(now, each.name).number()
                                && each.lease.isHeld(events.now());
            }
        }
        if (settled) {
            outcomes.settledS = events.seconds() - lastWordS;
            return;
        }
        events.after(0.1, this::look);
    }

    private void publish(boolean harm, int tries) {
        List<Host> open = new ArrayList<>();
        for (Host each : hosts.values()) {
            if (each.up && !each.paused && each.voter != null) {
                open.add(each);
            }
        }
        boolean halted =
                open.stream()
                        .anyMatch(each -> each.layout.rollout().phase() == RolloutPhase.HALTED);
        Host at = open.isEmpty() ? null : open.get(chance.nextInt(open.size()));
        if (at == null || !at.layout.rollout().isComplete() || at.wished != null) {
            // People come back; one that was halted they take back.
            if (at != null && halted && at.wished == null) {
                at.wished = at.layout.rollout().rolledBack("person", "halted");
            }
            if (tries > 0) {
                events.after(1, () -> publish(harm, tries - 1));
            }
            return;
        }
        long number = at.layout.rollout().target().number() + 1;
        publications++;
        PublishedVersion next =
                new PublishedVersion(
                        number, String.format("%064x", publications), SIZE, "", "person", "why");
        // Its bytes are at a majority of voters before it is wished for.
        int have = 0;
        for (Host each : open) {
            each.bytes.add(next.hash());
            have++;
        }
        if (have < ReplicaPlacement.quorumSize(Math.min(VOTERS, script.members()))) {
            if (tries > 0) {
                events.after(1, () -> publish(harm, tries - 1));
            }
            return;
        }
        if (harm) {
            harmful.add(number);
        }
        outcomes.published++;
        if (harm) {
            outcomes.harmfulOnes++;
        } else {
            outcomes.harmless++;
        }
        startedS = events.seconds();
        RolloutState wish = at.layout.rollout().startRollout(next);
        at.wished = wish;
        events.after(
                10,
                () -> {
                    if (wish.equals(at.wished)) {
                        at.wished = null;
                    }
                });
    }

    private void act(FaultSchedule.Action action) {
        Host host = hosts.get(action.slot());
        switch (action.act()) {
            case START -> {
                if (!host.up) {
                    host.start();
                }
            }
            case KILL, LEAVE -> {
                if (host.up) {
                    host.end();
                }
            }
            case PAUSE -> {
                if (host.up) {
                    host.paused = true;
                }
            }
            case RESUME -> {
                if (!host.up || !host.paused) {
                    return;
                }
                host.paused = false;
                // It acts once more before it reads anything.
                boolean may = !leases || host.lease.isHeld(events.now());
                if (may) {
                    host.ran();
                }
                while (!host.waits.isEmpty() && host.up) {
                    host.take(host.waits.poll());
                }
            }
            default -> {}
        }
    }

    /**
     * Whether what a server acts on now was in force for it within the stated bound; what is wrong,
     * or null.
     */
    private String wrong(Host host) {
        double bound = LEASE.toSeconds() + GRACE.toSeconds() + SLACK_S;
        double from = events.seconds() - bound;
        List<ReplicaPlacement> all = new ArrayList<>();
        all.add(first);
        for (ReplicaPlacement each : agreed.values()) {
            // From when a majority of voters knows, each since its start, a majority of them renews
            // no lease by an older one.
            long know =
                    hosts.values().stream()
                            .filter(
                                    voter ->
                                            voter.voter != null
                                                    && voter.up
                                                    && voter
                                                            .knew
                                                            .tailMap(each.epoch())
                                                            .values()
                                                            .stream()
                                                            .anyMatch(at -> at <= from))
                            .count();
            if (know >= ReplicaPlacement.quorumSize(Math.min(VOTERS, script.members()))) {
                all.clear();
            }
            all.add(each);
        }
        for (ReplicaPlacement each : all) {
            if (RolloutStages.targetVersion(each, host.name).number() == host.acting.number()) {
                return null;
            }
        }
        // Where too many are behind nobody is shut out, by rule, and what was renewed then lasts
        // for a lease.
        ReplicaPlacement now = agreed.isEmpty() ? first : agreed.lastEntry().getValue();
        long live = hosts.values().stream().filter(each -> each.up).count();
        long late =
                hosts.values().stream()
                        .filter(each -> events.seconds() - each.lateS < LEASE.toSeconds() + SLACK_S)
                        .count();
        if (late > 0.25 * live) {
            return null;
        }
        StringBuilder voters = new StringBuilder();
        for (Host each : hosts.values()) {
            if (each.voter != null) {
                voters.append(' ')
                        .append(each.name)
                        .append(each.up ? each.paused ? " paused" : "" : " down")
                        .append(" epoch ")
                        .append(each.layout.epoch());
            }
        }
        return host.name
                + " ran on version "
                + host.acting.number()
                + ", which was not in force for it in the last "
                + bound
                + " s; now it is "
                + RolloutStages.targetVersion(now, host.name).number()
                + ", in epoch "
                + now.epoch()
                + " of "
                + agreed.lastKey()
                + " s, voters:"
                + voters;
    }
}
