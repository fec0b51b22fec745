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
import java.util.function.Consumer;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.EpochConsensus;
import ochretiller.fleet.consensus.OutboundConsensusMessage;
import ochretiller.fleet.consensus.PlacementPlanner;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.replication.AssembledResult;
import ochretiller.fleet.replication.ChunkAssembler;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimIntent;
import ochretiller.fleet.replication.ClaimMode;
import ochretiller.fleet.replication.ClaimModeSettings;
import ochretiller.fleet.replication.ClaimModes;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ClaimRequirement;
import ochretiller.fleet.replication.CompletedClaim;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.PendingWrite;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SubmittedChange;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;

/**
 * A fleet that keeps claims and results for one another, in virtual time: voters, keepers and the
 * way of keyed invocations are the server's own decisions; callers bring repeats to any server.
 */
public final class ReplicationSimulation {
    private static final int FACTOR = 3;
    private static final String OPERATION = "order";
    private static final ClaimModeSettings SERVERS =
            new ClaimModeSettings(ClaimMode.SERVER, Map.of());
    private static final int VOTERS = 3;
    private static final int MOST = 100_000;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SPEAKS = Duration.ofMillis(500);

    /** Servers that each voter tells of the epoch each time. */
    private static final int TELLS = 4;

    private static final Duration CALM = Duration.ofSeconds(2);

    /** A token's window, the longest that there is, and the due time of a try. */
    private static final Duration WINDOW = Duration.ofSeconds(20);

    private static final Duration DUE = Duration.ofSeconds(4);

    /** The view knows of what has come or gone so much later. */
    private static final double SEES_S = 1.5;

    /** A socket's room for a paused process. */
    private static final int ROOM = 5_000;

    /**
     * A force of the disk, seconds, at least and by chance on top; and how long one that has failed
     * stays so.
     */
    private static final double FORCE_S = 0.0005;

    private static final double FORCE_MORE_S = 0.002;
    private static final double SICK_S = 4;

    /** Images of disks are taken this often, and so many are kept: some of them are put back. */
    private static final double IMAGES_S = 3;

    private static final int IMAGES = 4;

    /** Every so many tokens have a result that goes by pieces. */
    private static final int LONG_RESULTS = 8;

    /** Behind a change of mode: all have come to run without claims by then, and go on. */
    private static final double SWITCHES_S = 75;

    private static final ReplicaLimits BOUNDS =
            new ReplicaLimits(MOST, Long.MAX_VALUE, 2 << 20, WINDOW.plusSeconds(10));

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom links;
    private final SplittableRandom chance;
    private final double lostDisks;
    private final double oldDisks;
    private final boolean sickDisks;
    private final boolean claims;
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final Map<String, Token> tokens = new HashMap<>();
    private final Outcomes outcomes = new Outcomes();

    /** What was seen. */
    public static final class Outcomes {
        public int tries;
        public int succeeded;
        public int replayed;
        public int throttled;
        public int errored;
        public int otherBody;
        public int unanswered;
        public int runs;
        public int epochs;
        public int behind;
        public long messages;
        public int conflicts;
        public int oldFound;

        /** Runs without a claim. */
        public int unclaimed;

        /** Second runs of tokens whose keepers, a majority of them, had lost their disks. */
        public int excused;

        public int oldPutBack;
        public long unsaid;
        public long fetchedBytes;

        /** Milliseconds from a claim to its majority. */
        public final List<Double> claimMs = new ArrayList<>();

        public final List<String> broken = new ArrayList<>();

        public double claimMs(double percentile) {
            if (claimMs.isEmpty()) {
                return Double.NaN;
            }
            claimMs.sort(null);
            return claimMs.get(
                    (int) Math.min(claimMs.size() - 1, claimMs.size() * percentile / 100));
        }
    }

    private static final class Token {
        final String body;
        final List<Double> ranAt = new ArrayList<>();

        /** Who kept it as it ran, as the server that ran it knew. */
        final List<List<String>> keptBy = new ArrayList<>();

        final Set<String> results = new HashSet<>();

        /** Whether its first run within the window had a claim of a server that claims for good. */
        boolean claimed;

        Token(String body) {
            this.body = body;
        }

        void claimed(boolean forGood, double now) {
            if (ranAt.isEmpty() || now - ranAt.get(ranAt.size() - 1) >= WINDOW.toSeconds()) {
                claimed = forGood;
            }
        }
    }

    private record Sent(String from, Object message) {}

    /** What of a keeper is on its disk. */
    private record Image(
            ReplicaSnapshot place,
            Map<String, Long> heard,
            Map<String, ReplicaEntry> entries,
            Map<String, Long> numbers,
            Map<String, String> results) {
        static Image none() {
            return new Image(null, Map.of(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
        }

        Image copy(ReplicaSnapshot now) {
            return new Image(
                    now,
                    heard,
                    new TreeMap<>(entries),
                    new TreeMap<>(numbers),
                    new TreeMap<>(results));
        }

        /** As a start reads it. */
        ReplicaSnapshot disk(Duration now) {
            if (place == null) {
                return null;
            }
            Map<String, ReplicaEntry> live = new TreeMap<>();
            entries.forEach(
                    (token, entry) -> {
                        if (entry.expiresAt().compareTo(now) > 0) {
                            live.put(token, entry);
                        }
                    });
            long number =
                    Math.max(
                            place.changeNumber(),
                            numbers.values().stream().mapToLong(Long::longValue).max().orElse(0));
            return new ReplicaSnapshot(
                    place.placement(),
                    live,
                    place.laggingRanges(),
                    place.forgottenRanges(),
                    place.unreliableRanges(),
                    number,
                    true);
        }
    }

    private final class Host {
        final int number;
        final String name;
        final ReplicaServer server;
        Replica keeper;
        Image disk = Image.none();
        DurabilityBarrier commit;
        final Deque<Image> images = new ArrayDeque<>();
        double imagedS;
        double sickUntilS;
        double forcedS;
        double placedS;
        final List<Double> lostS = new ArrayList<>();
        EpochConsensus voter;
        AcceptorState voterDisk;
        ClaimCoordinator own;
        PlacementPlanner wish;
        boolean up;
        boolean paused;
        boolean everUp;
        double changedS;
        long life;
        long attempted;
        final Deque<Sent> waits = new ArrayDeque<>();
        final Map<String, String> local = new HashMap<>();
        ClaimModes modes;

        Host(int number) {
            this.number = number;
            this.name = "m" + number;
            this.server = new ReplicaServer(name, "z" + script.zone(number));
        }

        /** Whether it claims no more: the servers are told so one after the other. */
        boolean switched() {
            return switchS >= 0 && played() >= switchS + number * switchEachS;
        }

        void start(boolean keepsDisk) {
            up = true;
            paused = false;
            changedS = events.seconds();
            life++;
            waits.clear();
            local.clear();
            modes =
                    new ClaimModes(
                            switched() ? SERVERS : ClaimModeSettings.ALL_FLEET,
                            BOUNDS.maxWindow(),
                            events.now());
            boolean first = !everUp;
            everUp = true;
            if (first && formed != null) {
                disk =
                        new Image(
                                new ReplicaSnapshot(formed, Map.of()),
                                Map.of(),
                                new TreeMap<>(),
                                new TreeMap<>(),
                                new TreeMap<>());
                voterDisk =
                        new AcceptorState(formed, Ballot.NONE, Ballot.NONE, Optional.empty(), 0);
            }
            if (!keepsDisk) {
                lostS.add(events.seconds());
                disk = Image.none();
                images.clear();
                voterDisk = null;
            } else if (!first && !images.isEmpty() && chance.nextDouble() < oldDisks) {
                List<Image> all = new ArrayList<>(images);
                disk = all.get(chance.nextInt(all.size()));
                disk = disk.copy(disk.place);
                outcomes.oldPutBack++;
            }
            if (number <= VOTERS) {
                Set<String> names = new HashSet<>();
                for (int i = 1; i <= Math.min(VOTERS, script.members()); i++) {
                    names.add("m" + i);
                }
                voter = startVoter(names, first && formed == null);
            }
            ReplicaSnapshot found = disk.disk(events.now());
            ReplicaPlacement known =
                    found != null
                            ? found.placement()
                            : voter != null ? voter.committed() : ReplicaPlacement.empty(FACTOR);
            // Without its disk it knows of no epoch: the first that it is told of, it takes as one
            // that it may have been in.
            keeper =
                    found != null
                            ? Replica.recover(name, found, BOUNDS, events.now())
                            : first
                                    ? Replica.withoutDisk(name, known, 1, BOUNDS, events.now())
                                    : null;
            commit = new DurabilityBarrier(chance.split());
            if (sickDisks && chance.nextInt(6) == 0) {
                sickUntilS = events.seconds() + 30 * chance.nextDouble() + SICK_S;
            }
            own = new ClaimCoordinator(name, life, known, chance.split());
            own.restoreChangeNumbers(disk.heard);
            wish = new PlacementPlanner(CALM, BOUNDS.maxWindow(), FACTOR);
            if (voter != null && known.epoch() > 0) {
                voter.receive(name, new ConsensusMessage.Committed(known));
            }
            tick(life);
            speak(life);
        }

        private EpochConsensus startVoter(Set<String> names, boolean isFirstOfFleet) {
            long instanceId = chance.nextLong();
            if (voterDisk != null) {
                return EpochConsensus.resume(name, names, voterDisk, instanceId);
            }
            return isFirstOfFleet
                    ? EpochConsensus.startFresh(name, names, FACTOR, instanceId)
                    : EpochConsensus.recover(name, names, FACTOR, instanceId);
        }

        /**
         * What was written and not acknowledged may be there or not: the disk takes some of it, in
         * its order.
         */
        void end() {
            for (Runnable each : underWay) {
                if (chance.nextInt(2) == 0) {
                    break;
                }
                each.run();
            }
            underWay.clear();
            voterDisk = voter == null || voter.hasLostState() ? null : voter.durableState();
            up = false;
            changedS = events.seconds();
        }

        private final Deque<Runnable> underWay = new ArrayDeque<>();

        private boolean sick() {
            return events.seconds() < sickUntilS && events.seconds() > sickUntilS - SICK_S;
        }

        /** One write at a time: a force takes a while, and may fail. */
        private void force(long mine, Runnable written, java.util.function.Consumer<Boolean> then) {
            double at =
                    Math.max(events.seconds(), forcedS)
                            + FORCE_S
                            + FORCE_MORE_S * chance.nextDouble();
            if (forcedS > events.seconds()) {
                at = forcedS; // it goes out with the force that is under way
            }
            forcedS = at;
            underWay.add(written);
            events.after(
                    at - events.seconds(),
                    () -> {
                        if (life != mine || !up) {
                            return;
                        }
                        underWay.remove(written);
                        if (sick()) {
                            if (chance.nextInt(2) == 0) {
                                written.run();
                            }
                            then.accept(false);
                        } else {
                            written.run();
                            then.accept(true);
                        }
                    });
        }

        private void write(PendingWrite write) {
            Replica of = keeper;
            Image image = disk;
            long mine = life;
            String token = write.token().orElse(null);
            ReplicaSnapshot place = token == null ? of.metadataSnapshot() : null;
            ReplicaEntry entry = token == null ? null : of.entry(token);
            Map<String, Long> heard = token == null ? own.observedChangeNumbers() : Map.of();
            long numbered = token == null ? 0 : of.changeNumber(token);
            force(
                    mine,
                    () -> {
                        if (token == null) {
                            disk =
                                    new Image(
                                            place,
                                            heard,
                                            image.entries,
                                            image.numbers,
                                            image.results);
                        } else {
                            disk.entries.put(token, entry);
                            disk.numbers.put(token, numbered);
                        }
                    },
                    durable -> {
                        for (OutboundMessage out :
                                commit.acknowledge(write, durable, events.now())) {
                            send(number(out.recipient()), out.message());
                        }
                    });
        }

        private void keep() {
            for (AssembledResult whole : keeper.takeAssembledResults()) {
                long mine = life;
                force(
                        mine,
                        () -> disk.results.put(whole.token() + whole.claimId(), whole.result()),
                        durable -> {
                            if (!durable) {
                                return;
                            }
                            keeper.resultStored(whole);
                            carryOut();
                        });
            }
        }

        private void tick(long mine) {
            if (!up || life != mine) {
                return;
            }
            if (!paused) {
                Duration now = events.now();
                own.tick(now);
                if (keeper != null) {
                    keeper.tick(now);
                    if (chance.nextInt(25) == 0) {
                        keeper.compareRandomRange(chance);
                    }
                    if (chance.nextInt(25) == 0) {
                        keeper.observeLivePeers(seen());
                    }
                    commit.retryWrites(now).forEach(this::write);
                    if (events.seconds() - imagedS > IMAGES_S) {
                        imagedS = events.seconds();
                        images.add(disk.copy(disk.place));
                        if (images.size() > IMAGES) {
                            images.poll();
                        }
                    }
                    outcomes.behind = Math.max(outcomes.behind, keeper.laggingRangeCount());
                }
                if (voter != null) {
                    vote(now);
                }
                carryOut();
            }
            events.after(
                    TICK.plus(Duration.ofNanos((long) (faults.lateMs(number, played()) * 1e6))),
                    () -> tick(mine));
        }

        private Set<String> seen() {
            Set<String> live = new HashSet<>();
            for (Host each : hosts.values()) {
                if (each.up && !each.paused) {
                    live.add(each.name);
                }
            }
            return live;
        }

        private void vote(Duration now) {
            if (voter.hasLostState()) {
                if (chance.nextInt(10) == 0) {
                    voter.requestRecovery();
                }
                return;
            }
            Map<String, Boolean> view = new HashMap<>();
            List<ReplicaServer> servers = new ArrayList<>();
            for (Host each : hosts.values()) {
                if (!each.everUp) {
                    continue;
                }
                boolean is = each.up && !each.paused;
                boolean lately = events.seconds() - each.changedS < SEES_S;
                view.put(each.name, lately ? !is : is);
                servers.add(each.server);
            }
            wish.observe(view, now);
            if (voter.isProposing() && events.done() - attempted < 2_000
                    || chance.nextInt(10) != 0) {
                return;
            }
            wish.nextPlacement(voter.committed(), servers, now)
                    .ifPresent(
                            layout -> {
                                attempted = events.done();
                                voter.propose(layout);
                            });
        }

        private void speak(long mine) {
            if (!up || life != mine) {
                return;
            }
            if (!paused
                    && voter != null
                    && !voter.hasLostState()
                    && voter.committed().epoch() > 0) {
                for (int i = 0; i < TELLS; i++) {
                    int to = 1 + chance.nextInt(hosts.size());
                    if (to != number) {
                        send(to, new ConsensusMessage.Committed(voter.committed()));
                    }
                }
            }
            if (!paused) {
                stand();
            }
            events.after(SPEAKS, () -> speak(mine));
        }

        private void stand() {
            boolean keeps = keeper != null && own.placement().contains(name);
            int behind =
                    !keeps
                            ? 0
                            : keeper.isCheckingDisk()
                                    ? ReplicaPlacement.RANGE_COUNT
                                    : keeper.laggingRangeCount();
            ConsensusMessage.ReplicaProgress standing =
                    new ConsensusMessage.ReplicaProgress(own.placement().epoch(), behind);
            int voters = Math.min(VOTERS, script.members());
            if (!keeps) {
                send(1 + chance.nextInt(voters), standing);
            } else {
                for (int i = 1; i <= voters; i++) {
                    send(i, standing);
                }
            }
        }

        void take(Sent sent) {
            if (!up) {
                return;
            }
            if (traced != null && sent.message.toString().contains("token=" + traced + ",")) {
                System.out.printf(
                        Locale.ROOT,
                        "%9.4f %s -> %s%s (epoch %d): %s%n",
                        played(),
                        sent.from,
                        name,
                        paused ? " (paused)" : "",
                        keeper == null ? 0 : keeper.placement().epoch(),
                        sent.message);
            }
            if (paused) {
                if (waits.size() < ROOM) {
                    waits.add(sent);
                }
                return;
            }
            Duration now = events.now();
            if (sent.message instanceof ConsensusMessage message) {
                if (voter != null) {
                    voter.receive(sent.from, message);
                }
                if (message instanceof ConsensusMessage.ReplicaProgress standing) {
                    wish.recordProgress(sent.from, standing);
                    boolean missed =
                            voter != null
                                    && !voter.hasLostState()
                                    && standing.epoch() < voter.committed().epoch();
                    if (missed && !sent.from.equals(name)) {
                        send(number(sent.from), new ConsensusMessage.Committed(voter.committed()));
                    }
                }
                if (message instanceof ConsensusMessage.Committed agreed) {
                    learn(agreed.placement());
                }
                long mine = own.placement().epoch();
                boolean asks =
                        message instanceof ConsensusMessage.RecoveryQuery
                                || message instanceof ConsensusMessage.Committed agreed
                                        && agreed.placement().epoch() < mine;
                if (asks && mine > 0 && number(sent.from) <= VOTERS && !sent.from.equals(name)) {
                    send(number(sent.from), new ConsensusMessage.Committed(own.placement()));
                }
            } else if (sent.message instanceof ReplicationMessage message) {
                if (message instanceof ReplicationMessage.ClaimRequest claim
                        && !sent.from.equals(name)) {
                    modes.claimObserved(OPERATION, claim.transitional(), now);
                }
                if (message instanceof ReplicationMessage.RangeRequest fetch
                        && fetch.placement().isPresent()) {
                    learn(fetch.placement().get());
                }
                if (message instanceof ReplicationMessage.ChunkRequest want) {
                    String result = own.pendingResult(want.claimId()).orElse(null);
                    if (result == null) {
                        result = disk.results.get(want.token() + want.claimId());
                    }
                    ReplicationMessage.Chunk piece =
                            result == null ? null : ChunkAssembler.slice(want, result).orElse(null);
                    if (piece != null) {
                        send(number(sent.from), piece);
                    }
                }
                if (keeper != null) {
                    keeper.receive(sent.from, message, now);
                }
                own.receive(sent.from, message, now);
            }
            carryOut();
        }

        private void learn(ReplicaPlacement layout) {
            // Numbers of later lives are higher, as those from a clock are.
            if (keeper == null) {
                keeper =
                        Replica.withoutDisk(
                                name, layout, events.now().toNanos() / 1000, BOUNDS, events.now());
            } else {
                keeper.adoptPlacement(layout, events.now());
            }
            own.adoptPlacement(layout, events.now());
            outcomes.epochs = (int) Math.max(outcomes.epochs, layout.epoch());
        }

        void carryOut() {
            if (voter != null) {
                learnOwn();
                for (OutboundConsensusMessage out : voter.takeOutbound()) {
                    if (out.recipient().isPresent()) {
                        send(number(out.recipient().get()), out.message());
                    } else {
                        for (Host each : hosts.values()) {
                            if (each != this) {
                                send(each.number, out.message());
                            }
                        }
                    }
                }
            }
            if (keeper != null) {
                keep();
                List<String> tokens = keeper.takeChangedTokens();
                boolean place = keeper.takeMetadataChanged();
                if (events.seconds() - placedS > 1) {
                    placedS = events.seconds();
                    place = true;
                }
                SubmittedChange change = commit.submit(tokens, place, keeper.takeOutbound());
                change.writes().forEach(this::write);
                for (OutboundMessage out : change.sendable()) {
                    send(number(out.recipient()), out.message());
                }
                outcomes.oldFound =
                        (int) Math.max(outcomes.oldFound, keeper.statistics().staleDisks());
                outcomes.unsaid = Math.max(outcomes.unsaid, commit.droppedMessages());
                outcomes.fetchedBytes =
                        Math.max(outcomes.fetchedBytes, keeper.statistics().receivedBytes());
                outcomes.conflicts =
                        (int) Math.max(outcomes.conflicts, keeper.statistics().conflicts());
            }
            for (OutboundMessage out : own.takeOutbound()) {
                send(number(out.recipient()), out.message());
            }
        }

        private void learnOwn() {
            if (voter.committed().epoch() > 0
                    && (keeper == null
                            || keeper.placement().epoch() < voter.committed().epoch()
                            || own.placement().epoch() < voter.committed().epoch())) {
                learn(voter.committed());
            }
        }

        private int number(String other) {
            return Integer.parseInt(other.substring(1));
        }

        private void send(int to, Object message) {
            outcomes.messages++;
            if (to != number && counts != null) {
                counts.sent(number, played(), message);
            }
            Host at = hosts.get(to);
            if (at == null) {
                return;
            }
            List<LinkFaults.Copy> copies =
                    to == number
                            ? List.of(new LinkFaults.Copy(0, false))
                            : faults.fate(number, to, played());
            for (LinkFaults.Copy copy : copies) {
                if (copy.spoilt()) {
                    continue;
                }
                double ms =
                        to == number
                                ? 0
                                : script.delayMs()
                                        + script.jitterMs() * links.nextDouble()
                                        + copy.delayMs()
                                        + faults.lateMs(to, played());
                events.after(ms / 1e3, () -> hosts.get(to).take(new Sent(name, message)));
            }
        }
    }

    /**
     * @param lostDisks share of kills that take the disk along
     * @param oldDisks share of starts with a disk that find an image of some seconds ago in its
     *     place
     * @param sickDisks whether disks fail for some seconds now and then
     * @param claims whether a run is claimed; without it each server knows of its own runs alone
     */
    public ReplicationSimulation(
            FleetScenario script,
            long seed,
            double lostDisks,
            double oldDisks,
            boolean sickDisks,
            boolean claims) {
        this.script = script;
        this.plan = FaultSchedule.of(script);
        RandomStreams seeds = new RandomStreams(seed);
        this.faults = new LinkFaults(plan, seeds.of("faults"));
        this.links = seeds.of("links");
        this.chance = seeds.of("chance");
        this.lostDisks = lostDisks;
        this.oldDisks = oldDisks;
        this.sickDisks = sickDisks;
        this.claims = claims;
    }

    /**
     * Plays it: the fleet forms, then callers ask while the script's faults come and go, and some
     * time after.
     */
    public Outcomes play(int tokenCount, double forms) {
        faultsShift = forms;
        for (FaultSchedule.Slot slot : plan.slots()) {
            hosts.put(slot.number(), new Host(slot.number()));
        }
        for (FaultSchedule.Action action : plan.actions()) {
            double at =
                    action.act() == FaultSchedule.Act.START && action.atS() <= script.startS()
                            ? action.atS()
                            : action.atS() + forms;
            events.after(at, () -> act(action));
        }
        double span = Math.max(plan.lastS(), switchS + SWITCHES_S) + 8;
        for (int i = 0; i < tokenCount; i++) {
            String token = "token-" + i;
            double at = forms + chance.nextDouble() * span;
            Token known = new Token("body-" + i);
            tokens.put(token, known);
            int times = 1 + chance.nextInt(4);
            for (int t = 0; t < times; t++) {
                double later =
                        t == 0
                                ? 0
                                : switch (chance.nextInt(3)) {
                                    case 0 -> 0.001 * chance.nextDouble();
                                    case 1 -> chance.nextDouble();
                                    default -> 12 * chance.nextDouble();
                                };
                String body = chance.nextInt(20) == 0 ? "other" : known.body;
                events.after(at + later, () -> ask(token, body));
            }
        }
        if (counts != null) {
            events.after(forms, this::lookBehind);
        }
        events.run(forms + span + 25);
        return outcomes;
    }

    /**
     * What servers send, by server and second, and when their ranges are whole; for measurements.
     */
    static final class Counts {
        private static final double LOOK_S = 0.05;

        private final PacketCodec codec =
                new PacketCodec("emulated", FleetKeys.of("a key of the emulator's own"));
        private final Member sender =
                new Member(
                        new MemberId("m1000", 1),
                        new PeerAddress("10.0.0.1", 4200),
                        "z1",
                        "build-1",
                        Optional.empty(),
                        1,
                        MemberState.ALIVE);
        final Map<Integer, Map<Integer, long[]>> bySecond = new TreeMap<>();

        /** Times at which some range was not whole. */
        final List<Double> behindAt = new ArrayList<>();

        final List<double[]> behind = new ArrayList<>();

        void sent(int from, double atS, Object message) {
            long[] both =
                    bySecond.computeIfAbsent((int) Math.floor(atS), ignored -> new HashMap<>())
                            .computeIfAbsent(from, ignored -> new long[2]);
            both[0]++;
            both[1] += codec.seal(sender, message, 1L << 40).length;
        }

        /**
         * Of one server in a second: packets (0) or bytes (1), on the mean and at most, between two
         * times.
         */
        double[] each(int which, int fromS, int untilS, int servers) {
            double sum = 0;
            double most = 0;
            for (int second = fromS; second < untilS; second++) {
                for (long[] both : bySecond.getOrDefault(second, Map.of()).values()) {
                    sum += both[which];
                    most = Math.max(most, both[which]);
                }
            }
            return new double[] {sum / servers / (untilS - fromS), most};
        }
    }

    private Counts counts;

    /** Counts what is sent, and looks when all ranges are whole. */
    Counts counting() {
        counts = new Counts();
        return counts;
    }

    private void lookBehind() {
        int behind = behind();
        if (behind > 0) {
            counts.behindAt.add(played());
        }
        counts.behind.add(new double[] {played(), behind});
        events.after(Counts.LOOK_S, this::lookBehind);
    }

    /**
     * A fleet that has formed long ago: its keepers are agreed on, as many as a layout takes, and
     * keep nothing yet.
     */
    ReplicationSimulation formed() {
        List<ReplicaServer> servers = new ArrayList<>();
        int members = script.members();
        int keepers = Math.min(members, ReplicaPlacement.MAX_SERVERS);
        for (int i = 0; i < keepers; i++) {
            int number = 1 + (int) ((long) i * members / keepers);
            servers.add(new ReplicaServer("m" + number, "z" + script.zone(number)));
        }
        servers.sort(Comparator.comparing(ReplicaServer::name));
        formed = new ReplicaPlacement(1, servers, servers, FACTOR);
        return this;
    }

    private ReplicaPlacement formed;

    /** Time on the script, which begins when the fleet has formed. */
    private double played() {
        return events.seconds() - faultsShift;
    }

    private double faultsShift;

    /** All that is said of this token is printed, and all that happens to servers. */
    public ReplicationSimulation trace(String token) {
        traced = token;
        return this;
    }

    private String traced;

    /**
     * From then on the servers claim no more, one after the other; it is played until long behind
     * that.
     */
    public ReplicationSimulation switching(double atS, double eachS) {
        switchS = atS;
        switchEachS = eachS;
        return this;
    }

    private double switchS = Double.NEGATIVE_INFINITY;
    private double switchEachS;

    private void act(FaultSchedule.Action action) {
        Host host = hosts.get(action.slot());
        if (traced != null) {
            System.out.printf(Locale.ROOT, "%9.4f %s %s%n", played(), action.act(), host.name);
        }
        switch (action.act()) {
            case START -> {
                if (!host.up) {
                    host.start(host.everUp && chance.nextDouble() >= lostDisks || !host.everUp);
                }
            }
            case IMAGE -> {}
            case KILL, LEAVE -> {
                if (host.up) {
                    host.end();
                }
            }
            case PAUSE -> {
                if (host.up) {
                    host.paused = true;
                    host.changedS = events.seconds();
                }
            }
            case RESUME -> {
                if (!host.up || !host.paused) {
                    return;
                }
                host.paused = false;
                host.changedS = events.seconds();
                host.own.tick(events.now());
                host.carryOut();
                while (!host.waits.isEmpty() && host.up) {
                    host.take(host.waits.poll());
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void ask(String token, String body) {
        List<Host> open = new ArrayList<>();
        for (Host each : hosts.values()) {
            if (each.up && !each.paused) {
                open.add(each);
            }
        }
        if (open.isEmpty()) {
            return;
        }
        Host host = open.get(chance.nextInt(open.size()));
        long life = host.life;
        outcomes.tries++;
        double at = events.seconds();
        Duration due = events.now().plus(DUE);
        boolean[] answered = {false};
        // What has no end by its due time is errored then, whatever becomes of it, by a server that
        // is there to say so.
        events.after(
                DUE,
                () -> {
                    if (answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    if (host.life != life || !host.up || host.paused) {
                        outcomes.unanswered++;
                    } else {
                        outcomes.errored++;
                    }
                });
        if (claims
                && host.switched()
                && host.modes.requirementFor(OPERATION, events.now())
                        == ClaimRequirement.REQUIRED) {
            host.modes = new ClaimModes(SERVERS, BOUNDS.maxWindow(), events.now());
        }
        ClaimRequirement before =
                claims
                        ? host.modes.requirementFor(OPERATION, events.now())
                        : ClaimRequirement.NOT_REQUIRED;
        // What it runs without a claim each server knows of by itself.
        if (before == ClaimRequirement.NOT_REQUIRED || host.local.containsKey(token)) {
            String kept = host.local.putIfAbsent(token, "");
            if (kept != null) {
                answered[0] = true;
                if (kept.isEmpty()) {
                    outcomes.errored++;
                } else if (kept.startsWith(body + " by ")) {
                    succeeded(token, body, kept);
                } else {
                    outcomes.otherBody++;
                }
                return;
            }
            run(host, life, token, body, null, due, answered);
            return;
        }
        Consumer<ClaimDecision> then =
                verdict -> {
                    if (answered[0]) {
                        // Its caller has been answered: nothing may begin for it.
                        if (verdict.kind() == ClaimDecision.Kind.RUN) {
                            host.own.releaseClaim(
                                    verdict.claimId().orElseThrow(),
                                    events.now().plus(WINDOW),
                                    events.now());
                        }
                        return;
                    }
                    switch (verdict.kind()) {
                        case RUN -> {
                            outcomes.claimMs.add((events.seconds() - at) * 1e3);
                            tokens.get(token)
                                    .claimed(before == ClaimRequirement.REQUIRED, events.seconds());
                            run(host, life, token, body, verdict, due, answered);
                        }
                        case REPLAY -> {
                            answered[0] = true;
                            outcomes.replayed++;
                            succeeded(token, body, verdict.outcome().orElseThrow().result());
                        }
                        case THROTTLED -> {
                            answered[0] = true;
                            outcomes.throttled++;
                        }
                        case FINGERPRINT_MISMATCH -> {
                            answered[0] = true;
                            outcomes.otherBody++;
                        }
                        default -> {
                            answered[0] = true;
                            outcomes.errored++;
                        }
                    }
                };
        host.own.claim(
                new ClaimIntent(
                        token,
                        body,
                        before == ClaimRequirement.REQUIRED_TRANSITIONALLY,
                        due.minusMillis(500),
                        events.now().plus(WINDOW)),
                events.now(),
                then);
        host.carryOut();
    }

    private void run(
            Host host,
            long life,
            String token,
            String body,
            ClaimDecision verdict,
            Duration due,
            boolean[] answered) {
        Token known = tokens.get(token);
        outcomes.runs++;
        for (int i = 0; i < known.ranAt.size(); i++) {
            double before = known.ranAt.get(i);
            // A token whose first run was no fleet's stays so.
            if (events.seconds() - before >= WINDOW.toSeconds() || claims && !known.claimed) {
                continue;
            }
            if (forgotten(known.keptBy.get(i), before)) {
                outcomes.excused++;
            } else {
                broken(token + " was run again by " + host.name + ", " + verdict);
            }
        }
        if (verdict == null && claims) {
            known.claimed(false, events.seconds());
            outcomes.unclaimed++;
        }
        known.ranAt.add(events.seconds());
        known.keptBy.add(host.own.placement().replicasOf(ReplicaPlacement.rangeOf(token)));
        double work = chance.nextInt(8) == 0 ? 3 * chance.nextDouble() : 0.05 * chance.nextDouble();
        String result = body + " by " + host.name + " " + life + " " + outcomes.runs;
        if (token.hashCode() % LONG_RESULTS == 0) {
            result += ".".repeat(ClaimOutcome.MAX_INLINE_BYTES + chance.nextInt(20_000));
        }
        String whole = result;
        events.after(work, () -> finish(host, life, token, body, whole, verdict, due, answered));
    }

    /**
     * Whether a majority of these, or of all voters, has lost its disks since: nothing is promised
     * beyond that.
     */
    private boolean forgotten(List<String> keepers, double sinceS) {
        return lost(keepers, sinceS)
                || lost(
                        hosts.values().stream()
                                .filter(each -> each.number <= VOTERS)
                                .map(each -> each.name)
                                .toList(),
                        sinceS);
    }

    private boolean lost(List<String> names, double sinceS) {
        long lost =
                hosts.values().stream()
                        .filter(
                                each ->
                                        names.contains(each.name)
                                                && each.lostS.stream().anyMatch(at -> at >= sinceS))
                        .count();
        return !names.isEmpty() && lost >= ReplicaPlacement.quorumSize(names.size());
    }

    private CompletedClaim completed(
            ClaimDecision verdict, String body, String result, Duration due) {
        boolean big = result.length() > ClaimOutcome.MAX_INLINE_BYTES;
        return new CompletedClaim(
                verdict.claimId().orElseThrow(),
                big ? ClaimOutcome.chunked(body, result) : new ClaimOutcome(true, body, result),
                big ? Optional.of(result) : Optional.empty(),
                due,
                events.now().plus(WINDOW));
    }

    private void finish(
            Host host,
            long life,
            String token,
            String body,
            String result,
            ClaimDecision verdict,
            Duration due,
            boolean[] answered) {
        if (!host.up || host.life != life) {
            return;
        }
        if (host.paused) {
            events.after(
                    0.1, () -> finish(host, life, token, body, result, verdict, due, answered));
            return;
        }
        if (verdict == null) {
            host.local.put(token, result);
            if (answered[0]) {
                return;
            }
            answered[0] = true;
            succeeded(token, body, result);
            return;
        }
        host.own.reportOutcome(
                completed(verdict, body, result, due),
                events.now(),
                kept -> {
                    if (answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    // Not kept by a majority in time: nothing is claimed that could be lost.
                    if (kept) {
                        succeeded(token, body, result);
                    } else {
                        outcomes.errored++;
                    }
                });
        host.carryOut();
    }

    private void succeeded(String token, String body, String result) {
        outcomes.succeeded++;
        Token known = tokens.get(token);
        known.results.add(result);
        if (known.results.size() > 1
                && (known.claimed || !claims)
                && !(known.ranAt.size() > 1
                        && forgotten(known.keptBy.get(0), known.ranAt.get(0)))) {
            broken(token + " was answered with two results " + known.results);
        }
        if (!result.startsWith(body + " by ")) {
            broken(token + " was answered with another body's result");
        }
    }

    private void broken(String text) {
        if (outcomes.broken.size() < 20) {
            outcomes.broken.add(
                    String.format(Locale.ROOT, "%.3f s: %s", events.seconds() - faultsShift, text));
        }
    }

    /** The layout that most servers know of at the end. */
    public Optional<ReplicaPlacement> layout() {
        return hosts.values().stream()
                .filter(each -> each.up && each.keeper != null)
                .map(each -> each.keeper.placement())
                .max((a, b) -> Long.compare(a.epoch(), b.epoch()));
    }

    /** Ranges that are not whole at servers that are up. */
    public int behind() {
        return hosts.values().stream()
                .filter(each -> each.up && each.keeper != null)
                .mapToInt(each -> each.keeper.laggingRangeCount())
                .sum();
    }
}
