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
 * Simulates in virtual time a fleet that replicates claims and results. Voters, replicas and claim
 * coordinators are the server's own classes; clients repeat keyed invocations at any server.
 */
public final class ReplicationSimulation {
    private static final int REPLICATION_FACTOR = 3;
    private static final String OPERATION = "order";
    private static final ClaimModeSettings SERVER_MODE =
            new ClaimModeSettings(ClaimMode.SERVER, Map.of());
    private static final int VOTER_COUNT = 3;
    private static final int MAX_ENTRIES = 100_000;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofMillis(500);

    /** Servers to which a voter sends the committed placement, each announcement interval. */
    private static final int ANNOUNCEMENT_RECIPIENTS = 4;

    private static final Duration STABLE_PERIOD = Duration.ofSeconds(2);

    /** Validity of a token, which is also the longest window the replicas accept. */
    private static final Duration TOKEN_WINDOW = Duration.ofSeconds(20);

    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(4);

    /** Delay, in seconds, until the membership view reflects that a server started or stopped. */
    private static final double VIEW_DELAY_S = 1.5;

    /** Messages that the socket buffer of a paused process holds; further ones are lost. */
    private static final int MAX_QUEUED_MESSAGES = 5_000;

    /**
     * Duration of a disk force: a minimum plus a random part up to the jitter. A failing disk fails
     * for {@code DISK_FAILURE_S}.
     */
    private static final double MIN_FORCE_S = 0.0005;

    private static final double FORCE_JITTER_S = 0.002;
    private static final double DISK_FAILURE_S = 4;

    /** Interval between disk images; a restarted server may get one of the latest images back. */
    private static final double IMAGE_INTERVAL_S = 3;

    private static final int MAX_IMAGES = 4;

    /** One token in this many has a result that is sent in chunks. */
    private static final int TOKENS_PER_CHUNKED_RESULT = 8;

    /** Time after a mode switch by which all servers run without claims, in seconds. */
    private static final double MODE_SWITCH_DURATION_S = 75;

    private static final ReplicaLimits LIMITS =
            new ReplicaLimits(MAX_ENTRIES, Long.MAX_VALUE, 2 << 20, TOKEN_WINDOW.plusSeconds(10));

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom linkRandom;
    private final SplittableRandom random;
    private final double lostDiskShare;
    private final double staleDiskShare;
    private final boolean injectsDiskFailures;
    private final boolean usesClaims;
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final Map<String, TokenHistory> tokens = new HashMap<>();
    private final Outcomes outcomes = new Outcomes();

    /** Counts and rule violations of a simulation run. */
    public static final class Outcomes {
        public int attempts;
        public int succeeded;
        public int replayed;
        public int throttled;
        public int errored;
        public int fingerprintMismatches;
        public int unanswered;
        public int runs;
        public int highestEpoch;
        public int maxLaggingRanges;
        public long messages;
        public int conflicts;
        public int staleDisksFound;

        public int runsWithoutClaim;

        /** Repeated runs of tokens for which a majority of replicas had lost their disks. */
        public int excusedReruns;

        public int staleDisksRestored;
        public long droppedSends;
        public long fetchedBytes;

        /** Milliseconds from the start of each claim until a majority granted it. */
        public final List<Double> claimLatencyMs = new ArrayList<>();

        public final List<String> violations = new ArrayList<>();

        public double claimLatencyMs(double percentile) {
            if (claimLatencyMs.isEmpty()) {
                return Double.NaN;
            }
            claimLatencyMs.sort(null);
            return claimLatencyMs.get(
                    (int)
                            Math.min(
                                    claimLatencyMs.size() - 1,
                                    claimLatencyMs.size() * percentile / 100));
        }
    }

    private static final class TokenHistory {
        final String body;
        final List<Double> runTimesS = new ArrayList<>();

        /** Replicas of the token at each run, as known to the server that ran it. */
        final List<List<String>> replicasAtRun = new ArrayList<>();

        final Set<String> results = new HashSet<>();

        /** Whether the first run within the window had a claim that was not transitional. */
        boolean hasClaim;

        TokenHistory(String body) {
            this.body = body;
        }

        void recordClaim(boolean isPermanent, double now) {
            if (runTimesS.isEmpty()
                    || now - runTimesS.get(runTimesS.size() - 1) >= TOKEN_WINDOW.toSeconds()) {
                hasClaim = isPermanent;
            }
        }
    }

    private record Delivery(String from, Object message) {}

    /** Replica state that is durable on disk. */
    private record DiskImage(
            ReplicaSnapshot metadata,
            Map<String, Long> observedChanges,
            Map<String, ReplicaEntry> entries,
            Map<String, Long> changeNumbers,
            Map<String, String> results) {
        static DiskImage empty() {
            return new DiskImage(null, Map.of(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
        }

        DiskImage copy(ReplicaSnapshot currentMetadata) {
            return new DiskImage(
                    currentMetadata,
                    observedChanges,
                    new TreeMap<>(entries),
                    new TreeMap<>(changeNumbers),
                    new TreeMap<>(results));
        }

        /** Returns the snapshot that a starting replica recovers; null if the disk is empty. */
        ReplicaSnapshot toSnapshot(Duration now) {
            if (metadata == null) {
                return null;
            }
            Map<String, ReplicaEntry> live = new TreeMap<>();
            entries.forEach(
                    (token, entry) -> {
                        if (entry.expiresAt().compareTo(now) > 0) {
                            live.put(token, entry);
                        }
                    });
            long maxChangeNumber =
                    Math.max(
                            metadata.changeNumber(),
                            changeNumbers.values().stream()
                                    .mapToLong(Long::longValue)
                                    .max()
                                    .orElse(0));
            return new ReplicaSnapshot(
                    metadata.placement(),
                    live,
                    metadata.laggingRanges(),
                    metadata.lostGrantRanges(),
                    metadata.unreliableRanges(),
                    maxChangeNumber,
                    true);
        }
    }

    private final class Host {
        final int number;
        final String name;
        final ReplicaServer server;
        Replica replica;
        DiskImage disk = DiskImage.empty();
        DurabilityBarrier barrier;
        final Deque<DiskImage> images = new ArrayDeque<>();
        double lastImageS;
        double diskFailsUntilS;
        double forceCompletionS;
        double metadataSavedS;
        final List<Double> diskLossTimesS = new ArrayList<>();
        EpochConsensus voter;
        AcceptorState voterDisk;
        ClaimCoordinator coordinator;
        PlacementPlanner planner;
        boolean isUp;
        boolean isPaused;
        boolean started;
        double stateChangedS;
        long incarnation;
        long lastProposalEvent;
        final Deque<Delivery> queuedMessages = new ArrayDeque<>();
        final Map<String, String> localResults = new HashMap<>();
        ClaimModes claimModes;

        Host(int number) {
            this.number = number;
            this.name = "m" + number;
            this.server = new ReplicaServer(name, "z" + scenario.zoneOf(number));
        }

        /** Whether the server's mode was switched; servers are switched one after the other. */
        boolean hasSwitchedMode() {
            return modeSwitchS >= 0 && scenarioSeconds() >= modeSwitchS + number * modeSwitchStepS;
        }

        void start(boolean keepsDisk) {
            isUp = true;
            isPaused = false;
            stateChangedS = events.nowSeconds();
            incarnation++;
            queuedMessages.clear();
            localResults.clear();
            claimModes =
                    new ClaimModes(
                            hasSwitchedMode() ? SERVER_MODE : ClaimModeSettings.ALL_FLEET,
                            LIMITS.maxWindow(),
                            events.now());
            boolean first = !started;
            started = true;
            if (first && initialPlacement != null) {
                disk =
                        new DiskImage(
                                new ReplicaSnapshot(initialPlacement, Map.of()),
                                Map.of(),
                                new TreeMap<>(),
                                new TreeMap<>(),
                                new TreeMap<>());
                voterDisk =
                        new AcceptorState(
                                initialPlacement, Ballot.NONE, Ballot.NONE, Optional.empty(), 0);
            }
            if (!keepsDisk) {
                diskLossTimesS.add(events.nowSeconds());
                disk = DiskImage.empty();
                images.clear();
                voterDisk = null;
            } else if (!first && !images.isEmpty() && random.nextDouble() < staleDiskShare) {
                List<DiskImage> all = new ArrayList<>(images);
                disk = all.get(random.nextInt(all.size()));
                disk = disk.copy(disk.metadata);
                outcomes.staleDisksRestored++;
            }
            if (number <= VOTER_COUNT) {
                Set<String> voterNames = new HashSet<>();
                for (int i = 1; i <= Math.min(VOTER_COUNT, scenario.members()); i++) {
                    voterNames.add("m" + i);
                }
                voter = startVoter(voterNames, first && initialPlacement == null);
            }
            ReplicaSnapshot recovered = disk.toSnapshot(events.now());
            ReplicaPlacement knownPlacement =
                    recovered != null
                            ? recovered.placement()
                            : voter != null
                                    ? voter.committedPlacement()
                                    : ReplicaPlacement.empty(REPLICATION_FACTOR);
            // A server that lost its disk knows no epoch: it treats the first placement it learns
            // as one in which it may already have been a replica.
            replica =
                    recovered != null
                            ? Replica.recover(name, recovered, LIMITS, events.now())
                            : first
                                    ? Replica.withoutDisk(
                                            name, knownPlacement, 1, LIMITS, events.now())
                                    : null;
            barrier = new DurabilityBarrier(random.split());
            if (injectsDiskFailures && random.nextInt(6) == 0) {
                diskFailsUntilS = events.nowSeconds() + 30 * random.nextDouble() + DISK_FAILURE_S;
            }
            coordinator = new ClaimCoordinator(name, incarnation, knownPlacement, random.split());
            coordinator.restoreChangeNumbers(disk.observedChanges);
            planner = new PlacementPlanner(STABLE_PERIOD, LIMITS.maxWindow(), REPLICATION_FACTOR);
            if (voter != null && knownPlacement.epoch() > 0) {
                voter.receive(name, new ConsensusMessage.Committed(knownPlacement));
            }
            tick(incarnation);
            announce(incarnation);
        }

        private EpochConsensus startVoter(Set<String> voterNames, boolean isFirstOfFleet) {
            long instanceId = random.nextLong();
            if (voterDisk != null) {
                return EpochConsensus.resume(name, voterNames, voterDisk, instanceId);
            }
            return isFirstOfFleet
                    ? EpochConsensus.startFresh(name, voterNames, REPLICATION_FACTOR, instanceId)
                    : EpochConsensus.recover(name, voterNames, REPLICATION_FACTOR, instanceId);
        }

        /** Stops the process; a random prefix of the unacknowledged writes reaches the disk. */
        void stop() {
            for (Runnable each : pendingWrites) {
                if (random.nextInt(2) == 0) {
                    break;
                }
                each.run();
            }
            pendingWrites.clear();
            voterDisk = voter == null || voter.hasLostState() ? null : voter.durableState();
            isUp = false;
            stateChangedS = events.nowSeconds();
        }

        private final Deque<Runnable> pendingWrites = new ArrayDeque<>();

        private boolean isDiskFailing() {
            return events.nowSeconds() < diskFailsUntilS
                    && events.nowSeconds() > diskFailsUntilS - DISK_FAILURE_S;
        }

        /** Writes asynchronously; forces run one at a time, and one on a failing disk fails. */
        private void forceWrite(
                long expectedIncarnation,
                Runnable applyWrite,
                java.util.function.Consumer<Boolean> onDone) {
            double completionS =
                    Math.max(events.nowSeconds(), forceCompletionS)
                            + MIN_FORCE_S
                            + FORCE_JITTER_S * random.nextDouble();
            if (forceCompletionS > events.nowSeconds()) {
                completionS = forceCompletionS; // joins the pending force
            }
            forceCompletionS = completionS;
            pendingWrites.add(applyWrite);
            events.schedule(
                    completionS - events.nowSeconds(),
                    () -> {
                        if (incarnation != expectedIncarnation || !isUp) {
                            return;
                        }
                        pendingWrites.remove(applyWrite);
                        if (isDiskFailing()) {
                            if (random.nextInt(2) == 0) {
                                applyWrite.run();
                            }
                            onDone.accept(false);
                        } else {
                            applyWrite.run();
                            onDone.accept(true);
                        }
                    });
        }

        private void write(PendingWrite write) {
            Replica source = replica;
            DiskImage image = disk;
            long currentIncarnation = incarnation;
            String token = write.token().orElse(null);
            ReplicaSnapshot metadata = token == null ? source.metadataSnapshot() : null;
            ReplicaEntry entry = token == null ? null : source.entry(token);
            Map<String, Long> observedChanges =
                    token == null ? coordinator.observedChangeNumbers() : Map.of();
            long changeNumber = token == null ? 0 : source.changeNumber(token);
            forceWrite(
                    currentIncarnation,
                    () -> {
                        if (token == null) {
                            disk =
                                    new DiskImage(
                                            metadata,
                                            observedChanges,
                                            image.entries,
                                            image.changeNumbers,
                                            image.results);
                        } else {
                            disk.entries.put(token, entry);
                            disk.changeNumbers.put(token, changeNumber);
                        }
                    },
                    durable -> {
                        for (OutboundMessage outbound :
                                barrier.acknowledge(write, durable, events.now())) {
                            send(numberOf(outbound.recipient()), outbound.message());
                        }
                    });
        }

        private void storeAssembledResults() {
            for (AssembledResult assembled : replica.takeAssembledResults()) {
                long currentIncarnation = incarnation;
                forceWrite(
                        currentIncarnation,
                        () ->
                                disk.results.put(
                                        assembled.token() + assembled.claimId(),
                                        assembled.result()),
                        durable -> {
                            if (!durable) {
                                return;
                            }
                            replica.recordResultStored(assembled);
                            processOutputs();
                        });
            }
        }

        private void tick(long expectedIncarnation) {
            if (!isUp || incarnation != expectedIncarnation) {
                return;
            }
            if (!isPaused) {
                Duration now = events.now();
                coordinator.tick(now);
                if (replica != null) {
                    replica.tick(now);
                    if (random.nextInt(25) == 0) {
                        replica.compareRandomRange(random);
                    }
                    if (random.nextInt(25) == 0) {
                        replica.observeLivePeers(liveServers());
                    }
                    barrier.retryWrites(now).forEach(this::write);
                    if (events.nowSeconds() - lastImageS > IMAGE_INTERVAL_S) {
                        lastImageS = events.nowSeconds();
                        images.add(disk.copy(disk.metadata));
                        if (images.size() > MAX_IMAGES) {
                            images.poll();
                        }
                    }
                    outcomes.maxLaggingRanges =
                            Math.max(outcomes.maxLaggingRanges, replica.laggingRangeCount());
                }
                if (voter != null) {
                    proposePlacement(now);
                }
                processOutputs();
            }
            events.schedule(
                    TICK_INTERVAL.plus(
                            Duration.ofNanos(
                                    (long)
                                            (faults.processingDelayMs(number, scenarioSeconds())
                                                    * 1e6))),
                    () -> tick(expectedIncarnation));
        }

        private Set<String> liveServers() {
            Set<String> live = new HashSet<>();
            for (Host each : hosts.values()) {
                if (each.isUp && !each.isPaused) {
                    live.add(each.name);
                }
            }
            return live;
        }

        private void proposePlacement(Duration now) {
            if (voter.hasLostState()) {
                if (random.nextInt(10) == 0) {
                    voter.requestRecovery();
                }
                return;
            }
            Map<String, Boolean> view = new HashMap<>();
            List<ReplicaServer> servers = new ArrayList<>();
            for (Host each : hosts.values()) {
                if (!each.started) {
                    continue;
                }
                boolean isLive = each.isUp && !each.isPaused;
                boolean changedRecently = events.nowSeconds() - each.stateChangedS < VIEW_DELAY_S;
                view.put(each.name, changedRecently ? !isLive : isLive);
                servers.add(each.server);
            }
            planner.observe(view, now);
            if (voter.isProposing() && events.executedEvents() - lastProposalEvent < 2_000
                    || random.nextInt(10) != 0) {
                return;
            }
            planner.nextPlacement(voter.committedPlacement(), servers, now)
                    .ifPresent(
                            placement -> {
                                lastProposalEvent = events.executedEvents();
                                voter.propose(placement);
                            });
        }

        private void announce(long expectedIncarnation) {
            if (!isUp || incarnation != expectedIncarnation) {
                return;
            }
            if (!isPaused
                    && voter != null
                    && !voter.hasLostState()
                    && voter.committedPlacement().epoch() > 0) {
                for (int i = 0; i < ANNOUNCEMENT_RECIPIENTS; i++) {
                    int to = 1 + random.nextInt(hosts.size());
                    if (to != number) {
                        send(to, new ConsensusMessage.Committed(voter.committedPlacement()));
                    }
                }
            }
            if (!isPaused) {
                reportProgress();
            }
            events.schedule(ANNOUNCEMENT_INTERVAL, () -> announce(expectedIncarnation));
        }

        private void reportProgress() {
            boolean isReplica = replica != null && coordinator.placement().contains(name);
            int laggingRanges =
                    !isReplica
                            ? 0
                            : replica.isCheckingDisk()
                                    ? ReplicaPlacement.RANGE_COUNT
                                    : replica.laggingRangeCount();
            ConsensusMessage.ReplicaProgress progress =
                    new ConsensusMessage.ReplicaProgress(
                            coordinator.placement().epoch(), laggingRanges);
            int voterCount = Math.min(VOTER_COUNT, scenario.members());
            if (!isReplica) {
                send(1 + random.nextInt(voterCount), progress);
            } else {
                for (int i = 1; i <= voterCount; i++) {
                    send(i, progress);
                }
            }
        }

        void deliver(Delivery delivery) {
            if (!isUp) {
                return;
            }
            if (tracedToken != null
                    && delivery.message.toString().contains("token=" + tracedToken + ",")) {
                System.out.printf(
                        Locale.ROOT,
                        "%9.4f %s -> %s%s (epoch %d): %s%n",
                        scenarioSeconds(),
                        delivery.from,
                        name,
                        isPaused ? " (paused)" : "",
                        replica == null ? 0 : replica.placement().epoch(),
                        delivery.message);
            }
            if (isPaused) {
                if (queuedMessages.size() < MAX_QUEUED_MESSAGES) {
                    queuedMessages.add(delivery);
                }
                return;
            }
            Duration now = events.now();
            if (delivery.message instanceof ConsensusMessage message) {
                if (voter != null) {
                    voter.receive(delivery.from, message);
                }
                if (message instanceof ConsensusMessage.ReplicaProgress progress) {
                    planner.recordProgress(delivery.from, progress);
                    boolean missedEpoch =
                            voter != null
                                    && !voter.hasLostState()
                                    && progress.epoch() < voter.committedPlacement().epoch();
                    if (missedEpoch && !delivery.from.equals(name)) {
                        send(
                                numberOf(delivery.from),
                                new ConsensusMessage.Committed(voter.committedPlacement()));
                    }
                }
                if (message instanceof ConsensusMessage.Committed committed) {
                    applyPlacement(committed.placement());
                }
                long ownEpoch = coordinator.placement().epoch();
                boolean needsPlacement =
                        message instanceof ConsensusMessage.RecoveryQuery
                                || message instanceof ConsensusMessage.Committed committed
                                        && committed.placement().epoch() < ownEpoch;
                if (needsPlacement
                        && ownEpoch > 0
                        && numberOf(delivery.from) <= VOTER_COUNT
                        && !delivery.from.equals(name)) {
                    send(
                            numberOf(delivery.from),
                            new ConsensusMessage.Committed(coordinator.placement()));
                }
            } else if (delivery.message instanceof ReplicationMessage message) {
                if (message instanceof ReplicationMessage.ClaimRequest claimRequest
                        && !delivery.from.equals(name)) {
                    claimModes.recordObservedClaim(OPERATION, claimRequest.transitional(), now);
                }
                if (message instanceof ReplicationMessage.RangeRequest rangeRequest
                        && rangeRequest.placement().isPresent()) {
                    applyPlacement(rangeRequest.placement().get());
                }
                if (message instanceof ReplicationMessage.ChunkRequest chunkRequest) {
                    String result =
                            coordinator.pendingChunkedResult(chunkRequest.claimId()).orElse(null);
                    if (result == null) {
                        result = disk.results.get(chunkRequest.token() + chunkRequest.claimId());
                    }
                    ReplicationMessage.Chunk chunk =
                            result == null
                                    ? null
                                    : ChunkAssembler.slice(chunkRequest, result).orElse(null);
                    if (chunk != null) {
                        send(numberOf(delivery.from), chunk);
                    }
                }
                if (replica != null) {
                    replica.receive(delivery.from, message, now);
                }
                coordinator.receive(delivery.from, message, now);
            }
            processOutputs();
        }

        private void applyPlacement(ReplicaPlacement placement) {
            // Change numbers of later incarnations must be higher, as they are when taken from a
            // clock.
            if (replica == null) {
                replica =
                        Replica.withoutDisk(
                                name,
                                placement,
                                events.now().toNanos() / 1000,
                                LIMITS,
                                events.now());
            } else {
                replica.adoptPlacement(placement, events.now());
            }
            coordinator.adoptPlacement(placement, events.now());
            outcomes.highestEpoch = (int) Math.max(outcomes.highestEpoch, placement.epoch());
        }

        void processOutputs() {
            if (voter != null) {
                applyCommittedPlacement();
                for (OutboundConsensusMessage outbound : voter.takeOutbound()) {
                    if (outbound.recipient().isPresent()) {
                        send(numberOf(outbound.recipient().get()), outbound.message());
                    } else {
                        for (Host each : hosts.values()) {
                            if (each != this) {
                                send(each.number, outbound.message());
                            }
                        }
                    }
                }
            }
            if (replica != null) {
                storeAssembledResults();
                List<String> tokens = replica.takeChangedTokens();
                boolean metadataDue = replica.takeMetadataChanged();
                if (events.nowSeconds() - metadataSavedS > 1) {
                    metadataSavedS = events.nowSeconds();
                    metadataDue = true;
                }
                SubmittedChange batch = barrier.submit(tokens, metadataDue, replica.takeOutbound());
                batch.writes().forEach(this::write);
                for (OutboundMessage outbound : batch.sendableMessages()) {
                    send(numberOf(outbound.recipient()), outbound.message());
                }
                outcomes.staleDisksFound =
                        (int) Math.max(outcomes.staleDisksFound, replica.statistics().staleDisks());
                outcomes.droppedSends = Math.max(outcomes.droppedSends, barrier.droppedMessages());
                outcomes.fetchedBytes =
                        Math.max(outcomes.fetchedBytes, replica.statistics().receivedBytes());
                outcomes.conflicts =
                        (int) Math.max(outcomes.conflicts, replica.statistics().conflicts());
            }
            for (OutboundMessage outbound : coordinator.takeOutbound()) {
                send(numberOf(outbound.recipient()), outbound.message());
            }
        }

        private void applyCommittedPlacement() {
            if (voter.committedPlacement().epoch() > 0
                    && (replica == null
                            || replica.placement().epoch() < voter.committedPlacement().epoch()
                            || coordinator.placement().epoch()
                                    < voter.committedPlacement().epoch())) {
                applyPlacement(voter.committedPlacement());
            }
        }

        private int numberOf(String other) {
            return Integer.parseInt(other.substring(1));
        }

        private void send(int to, Object message) {
            outcomes.messages++;
            if (to != number && trafficCounts != null) {
                trafficCounts.recordSent(number, scenarioSeconds(), message);
            }
            Host receiver = hosts.get(to);
            if (receiver == null) {
                return;
            }
            List<LinkFaults.Copy> copies =
                    to == number
                            ? List.of(new LinkFaults.Copy(0, false))
                            : faults.deliveredCopies(number, to, scenarioSeconds());
            for (LinkFaults.Copy copy : copies) {
                if (copy.isCorrupted()) {
                    continue;
                }
                double ms =
                        to == number
                                ? 0
                                : scenario.delayMs()
                                        + scenario.jitterMs() * linkRandom.nextDouble()
                                        + copy.delayMs()
                                        + faults.processingDelayMs(to, scenarioSeconds());
                events.schedule(ms / 1e3, () -> hosts.get(to).deliver(new Delivery(name, message)));
            }
        }
    }

    /**
     * @param lostDiskShare share of kills that destroy the disk
     * @param staleDiskShare share of starts with a disk that find an image some seconds old instead
     * @param injectsDiskFailures whether disks occasionally fail for some seconds
     * @param usesClaims whether runs are claimed; if not, each server knows only its own runs
     */
    public ReplicationSimulation(
            FleetScenario scenario,
            long seed,
            double lostDiskShare,
            double staleDiskShare,
            boolean injectsDiskFailures,
            boolean usesClaims) {
        this.scenario = scenario;
        this.schedule = FaultSchedule.of(scenario);
        RandomStreams streams = new RandomStreams(seed);
        this.faults = new LinkFaults(schedule, streams.stream("faults"));
        this.linkRandom = streams.stream("links");
        this.random = streams.stream("chance");
        this.lostDiskShare = lostDiskShare;
        this.staleDiskShare = staleDiskShare;
        this.injectsDiskFailures = injectsDiskFailures;
        this.usesClaims = usesClaims;
    }

    /**
     * Runs the simulation: the fleet forms, then clients send attempts during the scenario's faults
     * and for some time after the last one.
     *
     * @param formationS seconds before the scenario starts, in which the fleet forms
     */
    public Outcomes run(int tokenCount, double formationS) {
        scenarioStartS = formationS;
        for (FaultSchedule.Slot slot : schedule.slots()) {
            hosts.put(slot.number(), new Host(slot.number()));
        }
        for (FaultSchedule.Action action : schedule.actions()) {
            double startS =
                    action.kind() == FaultSchedule.ActionKind.START
                                    && action.atS() <= scenario.startS()
                            ? action.atS()
                            : action.atS() + formationS;
            events.schedule(startS, () -> perform(action));
        }
        double durationS =
                Math.max(schedule.lastFaultEndS(), modeSwitchS + MODE_SWITCH_DURATION_S) + 8;
        for (int i = 0; i < tokenCount; i++) {
            String token = "token-" + i;
            double startS = formationS + random.nextDouble() * durationS;
            TokenHistory history = new TokenHistory("body-" + i);
            tokens.put(token, history);
            int attemptCount = 1 + random.nextInt(4);
            for (int attempt = 0; attempt < attemptCount; attempt++) {
                double delayS =
                        attempt == 0
                                ? 0
                                : switch (random.nextInt(3)) {
                                    case 0 -> 0.001 * random.nextDouble();
                                    case 1 -> random.nextDouble();
                                    default -> 12 * random.nextDouble();
                                };
                String body = random.nextInt(20) == 0 ? "other" : history.body;
                events.schedule(startS + delayS, () -> submitAttempt(token, body));
            }
        }
        if (trafficCounts != null) {
            events.schedule(formationS, this::sampleLaggingRanges);
        }
        events.runUntil(formationS + durationS + 25);
        return outcomes;
    }

    /** Traffic per server and second, and the number of lagging ranges over time. */
    static final class TrafficCounts {
        private static final double SAMPLE_INTERVAL_S = 0.05;

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
        final Map<Integer, Map<Integer, long[]>> sentBySecond = new TreeMap<>();

        /** Scenario times in seconds at which at least one range lagged. */
        final List<Double> laggingTimesS = new ArrayList<>();

        final List<double[]> laggingSamples = new ArrayList<>();

        void recordSent(int serverNumber, double atS, Object message) {
            long[] totals =
                    sentBySecond
                            .computeIfAbsent((int) Math.floor(atS), ignored -> new HashMap<>())
                            .computeIfAbsent(serverNumber, ignored -> new long[2]);
            totals[0]++;
            totals[1] += codec.seal(sender, message, 1L << 40).length;
        }

        /**
         * Returns the mean and the maximum per server and second, from {@code startS} inclusive to
         * {@code endS} exclusive.
         *
         * @param index 0 for packets, 1 for bytes
         */
        double[] meanAndMaxPerServer(int index, int startS, int endS, int servers) {
            double sum = 0;
            double max = 0;
            for (int second = startS; second < endS; second++) {
                for (long[] totals : sentBySecond.getOrDefault(second, Map.of()).values()) {
                    sum += totals[index];
                    max = Math.max(max, totals[index]);
                }
            }
            return new double[] {sum / servers / (endS - startS), max};
        }
    }

    private TrafficCounts trafficCounts;

    /** Enables the traffic counts and the sampling of lagging ranges. */
    TrafficCounts recordTraffic() {
        trafficCounts = new TrafficCounts();
        return trafficCounts;
    }

    private void sampleLaggingRanges() {
        int laggingRanges = laggingRangeCount();
        if (laggingRanges > 0) {
            trafficCounts.laggingTimesS.add(scenarioSeconds());
        }
        trafficCounts.laggingSamples.add(new double[] {scenarioSeconds(), laggingRanges});
        events.schedule(TrafficCounts.SAMPLE_INTERVAL_S, this::sampleLaggingRanges);
    }

    /**
     * Starts with a formed fleet: a placement with as many servers as allowed is committed, and the
     * replicas are empty.
     */
    ReplicationSimulation withFormedFleet() {
        List<ReplicaServer> servers = new ArrayList<>();
        int memberCount = scenario.members();
        int replicaServerCount = Math.min(memberCount, ReplicaPlacement.MAX_SERVERS);
        for (int i = 0; i < replicaServerCount; i++) {
            int number = 1 + (int) ((long) i * memberCount / replicaServerCount);
            servers.add(new ReplicaServer("m" + number, "z" + scenario.zoneOf(number)));
        }
        servers.sort(Comparator.comparing(ReplicaServer::name));
        initialPlacement = new ReplicaPlacement(1, servers, servers, REPLICATION_FACTOR);
        return this;
    }

    private ReplicaPlacement initialPlacement;

    /** Seconds since the start of the scenario, which starts when the fleet has formed. */
    private double scenarioSeconds() {
        return events.nowSeconds() - scenarioStartS;
    }

    private double scenarioStartS;

    /** Prints all messages about this token, and all faults of servers; null for no trace. */
    public ReplicationSimulation trace(String token) {
        tracedToken = token;
        return this;
    }

    private String tracedToken;

    /**
     * Switches the servers to server mode one after the other, and extends the run to cover it.
     *
     * @param startS scenario time in seconds of the first switch; negative infinity for no switch
     * @param stepS seconds between the switches of two servers
     */
    public ReplicationSimulation withModeSwitch(double startS, double stepS) {
        modeSwitchS = startS;
        modeSwitchStepS = stepS;
        return this;
    }

    private double modeSwitchS = Double.NEGATIVE_INFINITY;
    private double modeSwitchStepS;

    private void perform(FaultSchedule.Action action) {
        Host host = hosts.get(action.slot());
        if (tracedToken != null) {
            System.out.printf(
                    Locale.ROOT, "%9.4f %s %s%n", scenarioSeconds(), action.kind(), host.name);
        }
        switch (action.kind()) {
            case START -> {
                if (!host.isUp) {
                    host.start(
                            host.started && random.nextDouble() >= lostDiskShare || !host.started);
                }
            }
            case IMAGE -> {}
            case KILL, LEAVE -> {
                if (host.isUp) {
                    host.stop();
                }
            }
            case PAUSE -> {
                if (host.isUp) {
                    host.isPaused = true;
                    host.stateChangedS = events.nowSeconds();
                }
            }
            case RESUME -> {
                if (!host.isUp || !host.isPaused) {
                    return;
                }
                host.isPaused = false;
                host.stateChangedS = events.nowSeconds();
                host.coordinator.tick(events.now());
                host.processOutputs();
                while (!host.queuedMessages.isEmpty() && host.isUp) {
                    host.deliver(host.queuedMessages.poll());
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void submitAttempt(String token, String body) {
        List<Host> available = new ArrayList<>();
        for (Host each : hosts.values()) {
            if (each.isUp && !each.isPaused) {
                available.add(each);
            }
        }
        if (available.isEmpty()) {
            return;
        }
        Host host = available.get(random.nextInt(available.size()));
        long incarnation = host.incarnation;
        outcomes.attempts++;
        double submittedS = events.nowSeconds();
        Duration deadline = events.now().plus(ATTEMPT_TIMEOUT);
        boolean[] replied = {false};
        // An attempt without an outcome at its deadline is answered with an error, provided that
        // its server is still up; a later outcome is ignored.
        events.schedule(
                ATTEMPT_TIMEOUT,
                () -> {
                    if (replied[0]) {
                        return;
                    }
                    replied[0] = true;
                    if (host.incarnation != incarnation || !host.isUp || host.isPaused) {
                        outcomes.unanswered++;
                    } else {
                        outcomes.errored++;
                    }
                });
        if (usesClaims
                && host.hasSwitchedMode()
                && host.claimModes.requirementFor(OPERATION, events.now())
                        == ClaimRequirement.REQUIRED) {
            host.claimModes = new ClaimModes(SERVER_MODE, LIMITS.maxWindow(), events.now());
        }
        ClaimRequirement requirement =
                usesClaims
                        ? host.claimModes.requirementFor(OPERATION, events.now())
                        : ClaimRequirement.NOT_REQUIRED;
        // A run without a claim is known only to the server that ran it.
        if (requirement == ClaimRequirement.NOT_REQUIRED || host.localResults.containsKey(token)) {
            String localResult = host.localResults.putIfAbsent(token, "");
            if (localResult != null) {
                replied[0] = true;
                if (localResult.isEmpty()) {
                    outcomes.errored++;
                } else if (localResult.startsWith(body + " by ")) {
                    recordSuccess(token, body, localResult);
                } else {
                    outcomes.fingerprintMismatches++;
                }
                return;
            }
            startRun(host, incarnation, token, body, null, deadline, replied);
            return;
        }
        Consumer<ClaimDecision> onDecision =
                decision -> {
                    if (replied[0]) {
                        // The client was already answered: the run must not start.
                        if (decision.kind() == ClaimDecision.Kind.RUN) {
                            host.coordinator.releaseClaim(
                                    decision.claimId().orElseThrow(),
                                    events.now().plus(TOKEN_WINDOW),
                                    events.now());
                        }
                        return;
                    }
                    switch (decision.kind()) {
                        case RUN -> {
                            outcomes.claimLatencyMs.add((events.nowSeconds() - submittedS) * 1e3);
                            tokens.get(token)
                                    .recordClaim(
                                            requirement == ClaimRequirement.REQUIRED,
                                            events.nowSeconds());
                            startRun(host, incarnation, token, body, decision, deadline, replied);
                        }
                        case REPLAY -> {
                            replied[0] = true;
                            outcomes.replayed++;
                            recordSuccess(token, body, decision.outcome().orElseThrow().result());
                        }
                        case THROTTLED -> {
                            replied[0] = true;
                            outcomes.throttled++;
                        }
                        case FINGERPRINT_MISMATCH -> {
                            replied[0] = true;
                            outcomes.fingerprintMismatches++;
                        }
                        default -> {
                            replied[0] = true;
                            outcomes.errored++;
                        }
                    }
                };
        host.coordinator.claim(
                new ClaimIntent(
                        token,
                        body,
                        requirement == ClaimRequirement.REQUIRED_TRANSITIONALLY,
                        deadline.minusMillis(500),
                        events.now().plus(TOKEN_WINDOW)),
                events.now(),
                onDecision);
        host.processOutputs();
    }

    private void startRun(
            Host host,
            long instance,
            String token,
            String body,
            ClaimDecision claim,
            Duration deadline,
            boolean[] replied) {
        TokenHistory history = tokens.get(token);
        outcomes.runs++;
        for (int i = 0; i < history.runTimesS.size(); i++) {
            double runS = history.runTimesS.get(i);
            // Only tokens whose first run was claimed are guaranteed to run once.
            if (events.nowSeconds() - runS >= TOKEN_WINDOW.toSeconds()
                    || usesClaims && !history.hasClaim) {
                continue;
            }
            if (isExcused(history.replicasAtRun.get(i), runS)) {
                outcomes.excusedReruns++;
            } else {
                recordViolation(token + " was run again by " + host.name + ", " + claim);
            }
        }
        if (claim == null && usesClaims) {
            history.recordClaim(false, events.nowSeconds());
            outcomes.runsWithoutClaim++;
        }
        history.runTimesS.add(events.nowSeconds());
        history.replicasAtRun.add(
                host.coordinator.placement().replicasOf(ReplicaPlacement.rangeOf(token)));
        double durationS =
                random.nextInt(8) == 0 ? 3 * random.nextDouble() : 0.05 * random.nextDouble();
        String result = body + " by " + host.name + " " + instance + " " + outcomes.runs;
        if (token.hashCode() % TOKENS_PER_CHUNKED_RESULT == 0) {
            result += ".".repeat(ClaimOutcome.MAX_INLINE_BYTES + random.nextInt(20_000));
        }
        String fullResult = result;
        events.schedule(
                durationS,
                () -> finishRun(host, instance, token, body, fullResult, claim, deadline, replied));
    }

    /**
     * Whether a majority of these replicas, or of the voters, has lost its disks since then: the
     * fleet gives no guarantee in that case.
     */
    private boolean isExcused(List<String> replicas, double sinceS) {
        return hasLostQuorum(replicas, sinceS)
                || hasLostQuorum(
                        hosts.values().stream()
                                .filter(each -> each.number <= VOTER_COUNT)
                                .map(each -> each.name)
                                .toList(),
                        sinceS);
    }

    private boolean hasLostQuorum(List<String> names, double sinceS) {
        long lostCount =
                hosts.values().stream()
                        .filter(
                                each ->
                                        names.contains(each.name)
                                                && each.diskLossTimesS.stream()
                                                        .anyMatch(at -> at >= sinceS))
                        .count();
        return !names.isEmpty() && lostCount >= ReplicaPlacement.quorumSize(names.size());
    }

    private CompletedClaim completedClaim(
            ClaimDecision decision, String body, String result, Duration deadline) {
        boolean isChunked = result.length() > ClaimOutcome.MAX_INLINE_BYTES;
        return new CompletedClaim(
                decision.claimId().orElseThrow(),
                isChunked
                        ? ClaimOutcome.chunked(body, result)
                        : new ClaimOutcome(true, body, result),
                isChunked ? Optional.of(result) : Optional.empty(),
                deadline,
                events.now().plus(TOKEN_WINDOW));
    }

    private void finishRun(
            Host host,
            long instance,
            String token,
            String body,
            String result,
            ClaimDecision claim,
            Duration deadline,
            boolean[] replied) {
        if (!host.isUp || host.incarnation != instance) {
            return;
        }
        if (host.isPaused) {
            events.schedule(
                    0.1,
                    () -> finishRun(host, instance, token, body, result, claim, deadline, replied));
            return;
        }
        if (claim == null) {
            host.localResults.put(token, result);
            if (replied[0]) {
                return;
            }
            replied[0] = true;
            recordSuccess(token, body, result);
            return;
        }
        host.coordinator.reportOutcome(
                completedClaim(claim, body, result, deadline),
                events.now(),
                isStored -> {
                    if (replied[0]) {
                        return;
                    }
                    replied[0] = true;
                    // A result that no majority stored in time could be lost: answer an error.
                    if (isStored) {
                        recordSuccess(token, body, result);
                    } else {
                        outcomes.errored++;
                    }
                });
        host.processOutputs();
    }

    private void recordSuccess(String token, String body, String result) {
        outcomes.succeeded++;
        TokenHistory history = tokens.get(token);
        history.results.add(result);
        if (history.results.size() > 1
                && (history.hasClaim || !usesClaims)
                && !(history.runTimesS.size() > 1
                        && isExcused(history.replicasAtRun.get(0), history.runTimesS.get(0)))) {
            recordViolation(token + " was answered with two results " + history.results);
        }
        if (!result.startsWith(body + " by ")) {
            recordViolation(token + " was answered with another body's result");
        }
    }

    private void recordViolation(String text) {
        if (outcomes.violations.size() < 20) {
            outcomes.violations.add(
                    String.format(
                            Locale.ROOT, "%.3f s: %s", events.nowSeconds() - scenarioStartS, text));
        }
    }

    /** The placement with the highest epoch known to a running server; empty if there is none. */
    public Optional<ReplicaPlacement> latestPlacement() {
        return hosts.values().stream()
                .filter(each -> each.isUp && each.replica != null)
                .map(each -> each.replica.placement())
                .max((a, b) -> Long.compare(a.epoch(), b.epoch()));
    }

    /** Number of lagging ranges, summed over the running servers. */
    public int laggingRangeCount() {
        return hosts.values().stream()
                .filter(each -> each.isUp && each.replica != null)
                .mapToInt(each -> each.replica.laggingRangeCount())
                .sum();
    }
}
