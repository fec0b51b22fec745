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
 * Simulates in virtual time the rollout of versions to a fleet. Consensus, rollout control, leases
 * and version downloads are the server's own classes; some versions are harmful. The version that
 * each keyed run uses is checked against the committed rollout states.
 */
public final class RolloutSimulation {
    private static final int VOTER_COUNT = 3;
    private static final int REPLICATION_FACTOR = 3;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);
    private static final Duration LEASE_DURATION = Duration.ofSeconds(4);
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(3);
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(4);
    private static final Duration ACTIVATION_TIMEOUT = Duration.ofSeconds(6);

    /**
     * Seconds for a committed epoch and the following status report to reach the voters, and for
     * the voters to detect that a server is outdated.
     */
    private static final double PROPAGATION_S = 2.5;

    private static final double INVOCATION_INTERVAL_S = 0.05;

    /** Share of runs that end with an error: for a harmless and for a harmful version. */
    private static final double BASE_ERROR_SHARE = 0.02;

    private static final double HARMFUL_ERROR_SHARE = 0.25;
    private static final int VERSION_BYTES = 3 * VersionDownload.CHUNK_BYTES - 100;
    private static final int MAX_QUEUED_MESSAGES = 2_000;

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final SplittableRandom linkRandom;
    private final SplittableRandom random;
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final Set<Long> harmfulVersions = new HashSet<>();

    /** Committed placements by the time, in seconds, at which a voter first knew of the commit. */
    private final TreeMap<Double, ReplicaPlacement> committedPlacements = new TreeMap<>();

    private final Outcomes outcomes = new Outcomes();
    private final ReplicaPlacement initialPlacement;
    private final boolean enforcesLeases;
    private long publicationCount;

    /** Counts and rule violations of a simulation run. */
    public static final class Outcomes {
        public int publishedVersions;
        public int harmlessVersions;
        public int stoppedHarmlessVersions;
        public int harmfulVersions;
        public int stoppedHarmfulVersions;

        /** Harmful versions that were stopped before the stage that includes all servers. */
        public int harmfulVersionsStoppedEarly;

        public long runs;
        public long runsWithoutLease;
        public long messages;

        /**
         * Seconds from the last fault or publication until every live server runs its target
         * version and holds a lease; infinite if that never happens.
         */
        public double settleTimeS = Double.POSITIVE_INFINITY;

        /** Seconds from each publication until its rollout was complete. */
        public final List<Double> rolloutDurationsS = new ArrayList<>();

        public final List<String> violations = new ArrayList<>();

        /** Description of the fleet's final state if it did not settle. */
        public final List<String> notes = new ArrayList<>();
    }

    private record Delivery(String from, Object message) {}

    private final class Host {
        final int number;
        final String name;
        boolean isUp;
        boolean isPaused;
        long incarnation;
        ReplicaPlacement placement = initialPlacement;
        PublishedVersion activeVersion = PublishedVersion.NONE;
        final Set<String> availableHashes = new HashSet<>();
        final Map<Long, VersionCounters> countersByVersion = new HashMap<>();
        final Deque<Delivery> queuedMessages = new ArrayDeque<>();
        EpochConsensus voter;
        AcceptorState disk =
                new AcceptorState(initialPlacement, Ballot.NONE, Ballot.NONE, Optional.empty(), 0);
        Lease lease;
        LeaseGrantor leaseGrantor;
        RolloutController rolloutController;
        VersionDownload download;
        final Map<String, VersionReport> reports = new HashMap<>();
        RolloutState requestedState;

        /** Time in seconds at which this process learned of each epoch. */
        final TreeMap<Long, Double> epochKnownS = new TreeMap<>();

        double lastProposalS = -10;

        /** Last time in seconds at which its version differed from the committed target. */
        double lastOutdatedS = Double.NEGATIVE_INFINITY;

        Host(int number) {
            this.number = number;
            this.name = "m" + number;
        }

        void start() {
            isUp = true;
            isPaused = false;
            incarnation++;
            queuedMessages.clear();
            countersByVersion.clear();
            reports.clear();
            requestedState = null;
            Set<String> voterNames = new HashSet<>();
            for (int i = 1; i <= Math.min(VOTER_COUNT, scenario.members()); i++) {
                voterNames.add("m" + i);
            }
            voter =
                    voterNames.contains(name)
                            ? EpochConsensus.resume(name, voterNames, disk, random.nextLong())
                            : null;
            placement = voter != null ? voter.committedPlacement() : placement;
            epochKnownS.clear();
            epochKnownS.put(placement.epoch(), events.nowSeconds());
            lease = new Lease(voterNames, LEASE_DURATION, random.nextLong() >>> 16);
            leaseGrantor = new LeaseGrantor(GRACE_PERIOD, random.split());
            rolloutController = new RolloutController(OBSERVATION_TIME, ACTIVATION_TIMEOUT, true);
            download = new VersionDownload(random.split());
            tick(incarnation);
            report(incarnation);
            attemptRun(incarnation);
        }

        void stop() {
            if (voter != null) {
                disk = voter.durableState();
            }
            isUp = false;
        }

        private void tick(long expectedIncarnation) {
            if (!isUp || incarnation != expectedIncarnation) {
                return;
            }
            if (!isPaused) {
                Duration now = events.now();
                for (OutboundChunkRequest chunkRequest : download.tick(sources(), now)) {
                    send(chunkRequest.recipient(), chunkRequest.request());
                }
                if (voter != null) {
                    proposeRollout();
                }
            }
            events.schedule(
                    TICK_INTERVAL.plus(
                            Duration.ofNanos(
                                    (long)
                                            (faults.processingDelayMs(number, events.nowSeconds())
                                                    * 1e6))),
                    () -> tick(expectedIncarnation));
        }

        private List<String> sources() {
            List<String> all = new ArrayList<>();
            if (download.isIncomplete()) {
                for (Host each : hosts.values()) {
                    if (each.isUp
                            && each != this
                            && (each.voter != null
                                    || RolloutStages.includes(placement, each.name))) {
                        all.add(each.name);
                    }
                }
            }
            return all;
        }

        private void proposeRollout() {
            Set<String> live = new HashSet<>();
            for (Host each : hosts.values()) {
                if (each.isUp && !each.isPaused) {
                    live.add(each.name);
                }
            }
            reports.keySet().retainAll(live);
            if (voter.isProposing() && events.nowSeconds() - lastProposalS < 1
                    || random.nextInt(10) != 0) {
                return;
            }
            ReplicaPlacement committed = voter.committedPlacement();
            RolloutState proposed =
                    requestedState != null
                            ? requestedState
                            : rolloutController
                                    .nextState(committed, live, events.now())
                                    .orElse(null);
            if (proposed == null) {
                return;
            }
            lastProposalS = events.nowSeconds();
            voter.propose(committed.with(proposed));
            processOutputs();
        }

        private void report(long expectedIncarnation) {
            if (!isUp || incarnation != expectedIncarnation) {
                return;
            }
            if (!committedPlacements.isEmpty()
                    && activeVersion.number()
                            != RolloutStages.targetVersion(
                                            committedPlacements.lastEntry().getValue(), name)
                                    .number()) {
                lastOutdatedS = events.nowSeconds();
            }
            if (!isPaused) {
                RolloutState rollout = placement.rollout();
                VersionCounters previousCounters =
                        rollout.previous().number() == rollout.target().number()
                                ? VersionCounters.ZERO
                                : countersByVersion.getOrDefault(
                                        rollout.previous().number(), VersionCounters.ZERO);
                VersionReport report =
                        new VersionReport(
                                activeVersion.number(),
                                activeVersion.hash(),
                                0,
                                "",
                                rollout.target().number(),
                                countersByVersion.getOrDefault(
                                        rollout.target().number(), VersionCounters.ZERO),
                                previousCounters);
                RolloutMessage.StatusReport statusReport =
                        new RolloutMessage.StatusReport(
                                lease.startRenewal(events.now()), report, 0, "");
                for (int i = 1; i <= Math.min(VOTER_COUNT, scenario.members()); i++) {
                    if (i == number) {
                        receive(name, statusReport);
                    } else {
                        send("m" + i, statusReport);
                    }
                }
                if (voter != null) {
                    for (int i = 0; i < 4; i++) {
                        Host to = hosts.get(1 + random.nextInt(hosts.size()));
                        if (to != this) {
                            send(
                                    to.name,
                                    new ConsensusMessage.Committed(voter.committedPlacement()));
                        }
                    }
                }
            }
            events.schedule(REPORT_INTERVAL, () -> report(expectedIncarnation));
        }

        /** Receives a keyed invocation and runs it if the server holds a lease. */
        private void attemptRun(long expectedIncarnation) {
            if (!isUp || incarnation != expectedIncarnation) {
                return;
            }
            if (!isPaused) {
                boolean mayRun = !enforcesLeases || lease.isHeld(events.now());
                if (mayRun) {
                    recordRun();
                } else {
                    outcomes.runsWithoutLease++;
                }
            }
            events.schedule(
                    INVOCATION_INTERVAL_S * (0.5 + random.nextDouble()),
                    () -> attemptRun(expectedIncarnation));
        }

        private void recordRun() {
            outcomes.runs++;
            boolean isErrored =
                    random.nextDouble()
                            < (harmfulVersions.contains(activeVersion.number())
                                    ? HARMFUL_ERROR_SHARE
                                    : BASE_ERROR_SHARE);
            countersByVersion.merge(
                    activeVersion.number(),
                    new VersionCounters(1, 0, isErrored ? 1 : 0, 0, isErrored ? 0 : 1, 1),
                    VersionCounters::plus);
            String violation = describeViolation(this);
            if (violation != null && outcomes.violations.size() < 20) {
                outcomes.violations.add(
                        String.format(Locale.ROOT, "%.3f s: %s", events.nowSeconds(), violation));
            }
        }

        void deliver(Delivery delivery) {
            if (!isUp) {
                return;
            }
            if (isPaused) {
                if (queuedMessages.size() < MAX_QUEUED_MESSAGES) {
                    queuedMessages.add(delivery);
                }
                return;
            }
            receive(delivery.from, delivery.message);
        }

        private void receive(String from, Object message) {
            Duration now = events.now();
            if (message instanceof ConsensusMessage consensusMessage) {
                if (voter != null) {
                    voter.receive(from, consensusMessage);
                }
                if (consensusMessage instanceof ConsensusMessage.Committed committed) {
                    adoptPlacement(committed.placement());
                }
            } else if (message instanceof RolloutMessage.StatusReport statusReport) {
                rolloutController.recordReport(from, statusReport.report());
                reports.put(from, statusReport.report());
                boolean isGranted = leaseGrantor.renew(placement, from, reports, now);
                if (from.equals(name)) {
                    if (isGranted) {
                        lease.recordGrant(name, statusReport.requestId());
                    }
                } else {
                    send(from, new RolloutMessage.LeaseReply(statusReport.requestId(), isGranted));
                    // A report for an older rollout shows that its sender missed an epoch.
                    if (statusReport.report().rolloutVersion()
                            < placement.rollout().target().number()) {
                        send(from, new ConsensusMessage.Committed(placement));
                    }
                }
            } else if (message instanceof RolloutMessage.LeaseReply leaseReply) {
                if (leaseReply.granted()) {
                    lease.recordGrant(from, leaseReply.requestId());
                }
            } else if (message instanceof RolloutMessage.ChunkRequest chunkRequest) {
                if (availableHashes.contains(chunkRequest.hash())) {
                    VersionDownload.slice(chunkRequest, new byte[VERSION_BYTES])
                            .ifPresent(chunk -> send(from, chunk));
                }
            } else if (message instanceof RolloutMessage.Chunk chunk) {
                download.accept(chunk, now)
                        .ifPresent(
                                content -> {
                                    availableHashes.add(chunk.hash());
                                    applyTargetVersion();
                                });
                for (OutboundChunkRequest chunkRequest : download.tick(sources(), now)) {
                    send(chunkRequest.recipient(), chunkRequest.request());
                }
            }
            processOutputs();
        }

        private void adoptPlacement(ReplicaPlacement next) {
            if (next.epoch() <= placement.epoch()) {
                return;
            }
            placement = next;
            leaseGrantor.adoptPlacement(next, events.now());
            epochKnownS.put(next.epoch(), events.nowSeconds());
            if (next.rollout().equals(requestedState)) {
                requestedState = null;
            }
            applyTargetVersion();
        }

        private void applyTargetVersion() {
            PublishedVersion target = RolloutStages.targetVersion(placement, name);
            if (target.number() == activeVersion.number()) {
                return;
            }
            if (!target.usesLocalFiles() && !availableHashes.contains(target.hash())) {
                download.start(target, events.now());
            } else {
                activeVersion = target;
            }
        }

        void processOutputs() {
            if (voter == null) {
                return;
            }
            if (voter.committedPlacement().epoch() > placement.epoch()) {
                adoptPlacement(voter.committedPlacement());
            }
            // A majority may accept a placement before any voter learns of that; the placement
            // counts as committed once the first voter knows.
            ReplicaPlacement known = voter.committedPlacement();
            if (committedPlacements.isEmpty()
                    || known.epoch() > committedPlacements.lastEntry().getValue().epoch()) {
                recordCommitted(known);
            }
            for (OutboundConsensusMessage outbound : voter.takeOutbound()) {
                if (outbound.recipient().isPresent()) {
                    send(outbound.recipient().get(), outbound.message());
                } else {
                    for (Host each : hosts.values()) {
                        if (each != this
                                && (each.voter != null
                                        || outbound.message()
                                                instanceof ConsensusMessage.Committed)) {
                            send(each.name, outbound.message());
                        }
                    }
                }
            }
        }

        private void send(String to, Object message) {
            outcomes.messages++;
            int receiver = Integer.parseInt(to.substring(1));
            for (LinkFaults.Copy copy :
                    faults.deliveredCopies(number, receiver, events.nowSeconds())) {
                if (copy.isCorrupted()) {
                    continue;
                }
                double ms =
                        scenario.delayMs()
                                + scenario.jitterMs() * linkRandom.nextDouble()
                                + copy.delayMs()
                                + faults.processingDelayMs(receiver, events.nowSeconds());
                events.schedule(
                        ms / 1e3, () -> hosts.get(receiver).deliver(new Delivery(name, message)));
            }
        }
    }

    /**
     * @param enforcesLeases whether servers run keyed invocations only with a lease; without that,
     *     violations by outdated servers are expected
     */
    public RolloutSimulation(FleetScenario scenario, long seed, boolean enforcesLeases) {
        this.scenario = scenario;
        this.schedule = FaultSchedule.of(scenario);
        this.enforcesLeases = enforcesLeases;
        RandomStreams streams = new RandomStreams(seed);
        this.faults = new LinkFaults(schedule, streams.stream("faults"));
        this.linkRandom = streams.stream("links");
        this.random = streams.stream("versions");
        List<ReplicaServer> servers = new ArrayList<>();
        for (int i = 1; i <= Math.min(scenario.members(), ReplicaPlacement.MAX_SERVERS); i++) {
            servers.add(new ReplicaServer("m" + i, "z" + scenario.zoneOf(i)));
        }
        servers.sort(Comparator.comparing(ReplicaServer::name));
        this.initialPlacement = new ReplicaPlacement(1, servers, servers, REPLICATION_FACTOR);
    }

    private void recordCommitted(ReplicaPlacement placement) {
        RolloutState before =
                committedPlacements.isEmpty()
                        ? RolloutState.NONE
                        : committedPlacements.lastEntry().getValue().rollout();
        RolloutState now = placement.rollout();
        committedPlacements.put(events.nowSeconds(), placement);
        boolean isRolledBack =
                now.isComplete()
                        && now.target().number() == before.target().number() + 1
                        && !before.isComplete();
        if (isRolledBack
                || now.phase() == RolloutPhase.HALTED && before.phase() == RolloutPhase.RUNNING) {
            boolean isHarmful = harmfulVersions.contains(before.target().number());
            if (!isHarmful) {
                outcomes.stoppedHarmlessVersions++;
            } else {
                outcomes.stoppedHarmfulVersions++;
            }
            if (isHarmful && before.stage() < RolloutStages.ALL_SERVERS) {
                outcomes.harmfulVersionsStoppedEarly++;
            }
        }
        if (now.isComplete() && !before.isComplete() && !isRolledBack) {
            outcomes.rolloutDurationsS.add(events.nowSeconds() - rolloutStartS);
        }
    }

    private double rolloutStartS;

    /**
     * Runs the simulation with versions published at fixed intervals, during the faults and, if
     * there are more versions, after them.
     *
     * @param harmfulShare probability that a version is harmful
     */
    public Outcomes run(int versionCount, double harmfulShare) {
        for (FaultSchedule.Slot slot : schedule.slots()) {
            hosts.put(slot.number(), new Host(slot.number()));
        }
        for (FaultSchedule.Action action : schedule.actions()) {
            events.schedule(action.atS(), () -> perform(action));
        }
        double lastFaultS = schedule.lastFaultEndS();
        for (int i = 0; i < versionCount; i++) {
            events.schedule(3 + 24.0 * i, () -> publish(random.nextDouble() < harmfulShare, 40));
        }
        double lastPublicationS = 3 + 24.0 * versionCount;
        double endS = Math.max(lastFaultS, lastPublicationS) + 60;
        events.schedule(Math.max(lastFaultS, lastPublicationS), this::checkSettled);
        lastFaultOrPublicationS = Math.max(lastFaultS, lastPublicationS);
        events.runUntil(endS);
        if (Double.isInfinite(outcomes.settleTimeS)) {
            StringBuilder text =
                    new StringBuilder(
                            "unsettled: "
                                    + (committedPlacements.isEmpty()
                                            ? initialPlacement
                                            : committedPlacements.lastEntry().getValue()));
            for (Host each : hosts.values()) {
                text.append("; ")
                        .append(each.name)
                        .append(each.isUp ? each.isPaused ? " paused" : "" : " down")
                        .append(" epoch ")
                        .append(each.placement.epoch())
                        .append(" acts ")
                        .append(each.activeVersion.number())
                        .append(
                                each.lease != null && each.lease.isHeld(events.now())
                                        ? ""
                                        : " no lease");
            }
            outcomes.notes.add(text.toString());
        }
        return outcomes;
    }

    private double lastFaultOrPublicationS;

    private void checkSettled() {
        ReplicaPlacement now =
                committedPlacements.isEmpty()
                        ? initialPlacement
                        : committedPlacements.lastEntry().getValue();
        boolean isSettled =
                now.rollout().isComplete() || now.rollout().phase() == RolloutPhase.HALTED;
        for (Host each : hosts.values()) {
            if (each.isUp && !each.isPaused) {
                isSettled &=
                        each.activeVersion.number()
                                        == RolloutStages.targetVersion(now, each.name).number()
                                && each.lease.isHeld(events.now());
            }
        }
        if (isSettled) {
            outcomes.settleTimeS = events.nowSeconds() - lastFaultOrPublicationS;
            return;
        }
        events.schedule(0.1, this::checkSettled);
    }

    private void publish(boolean isHarmful, int remainingAttempts) {
        List<Host> voters = new ArrayList<>();
        for (Host each : hosts.values()) {
            if (each.isUp && !each.isPaused && each.voter != null) {
                voters.add(each);
            }
        }
        boolean halted =
                voters.stream()
                        .anyMatch(each -> each.placement.rollout().phase() == RolloutPhase.HALTED);
        Host voter = voters.isEmpty() ? null : voters.get(random.nextInt(voters.size()));
        if (voter == null
                || !voter.placement.rollout().isComplete()
                || voter.requestedState != null) {
            // The operator rolls a halted rollout back and tries again later.
            if (voter != null && halted && voter.requestedState == null) {
                voter.requestedState = voter.placement.rollout().rolledBack("person", "halted");
            }
            if (remainingAttempts > 0) {
                events.schedule(1, () -> publish(isHarmful, remainingAttempts - 1));
            }
            return;
        }
        long number = voter.placement.rollout().target().number() + 1;
        publicationCount++;
        PublishedVersion next =
                new PublishedVersion(
                        number,
                        String.format("%064x", publicationCount),
                        VERSION_BYTES,
                        "",
                        "person",
                        "why");
        // A majority of the voters must hold the content before the rollout is requested.
        int holders = 0;
        for (Host each : voters) {
            each.availableHashes.add(next.hash());
            holders++;
        }
        if (holders < ReplicaPlacement.quorumSize(Math.min(VOTER_COUNT, scenario.members()))) {
            if (remainingAttempts > 0) {
                events.schedule(1, () -> publish(isHarmful, remainingAttempts - 1));
            }
            return;
        }
        if (isHarmful) {
            harmfulVersions.add(number);
        }
        outcomes.publishedVersions++;
        if (isHarmful) {
            outcomes.harmfulVersions++;
        } else {
            outcomes.harmlessVersions++;
        }
        rolloutStartS = events.nowSeconds();
        RolloutState requested = voter.placement.rollout().startRollout(next);
        voter.requestedState = requested;
        events.schedule(
                10,
                () -> {
                    if (requested.equals(voter.requestedState)) {
                        voter.requestedState = null;
                    }
                });
    }

    private void perform(FaultSchedule.Action action) {
        Host host = hosts.get(action.slot());
        switch (action.kind()) {
            case START -> {
                if (!host.isUp) {
                    host.start();
                }
            }
            case KILL, LEAVE -> {
                if (host.isUp) {
                    host.stop();
                }
            }
            case PAUSE -> {
                if (host.isUp) {
                    host.isPaused = true;
                }
            }
            case RESUME -> {
                if (!host.isUp || !host.isPaused) {
                    return;
                }
                host.isPaused = false;
                // A resumed process runs once more before it reads the queued messages.
                boolean mayRun = !enforcesLeases || host.lease.isHeld(events.now());
                if (mayRun) {
                    host.recordRun();
                }
                while (!host.queuedMessages.isEmpty() && host.isUp) {
                    host.deliver(host.queuedMessages.poll());
                }
            }
            default -> {}
        }
    }

    /**
     * Checks that the server's version was its target at some time within the guaranteed bound:
     * lease duration, grace period and propagation. Returns the violation, or null.
     */
    private String describeViolation(Host host) {
        double boundS = LEASE_DURATION.toSeconds() + GRACE_PERIOD.toSeconds() + PROPAGATION_S;
        double sinceS = events.nowSeconds() - boundS;
        List<ReplicaPlacement> permitted = new ArrayList<>();
        permitted.add(initialPlacement);
        for (ReplicaPlacement each : committedPlacements.values()) {
            // Once a majority of the voters has learned of an epoch since starting, no lease can be
            // renewed under an older one.
            long informedVoters =
                    hosts.values().stream()
                            .filter(
                                    voter ->
                                            voter.voter != null
                                                    && voter.isUp
                                                    && voter
                                                            .epochKnownS
                                                            .tailMap(each.epoch())
                                                            .values()
                                                            .stream()
                                                            .anyMatch(at -> at <= sinceS))
                            .count();
            if (informedVoters
                    >= ReplicaPlacement.quorumSize(Math.min(VOTER_COUNT, scenario.members()))) {
                permitted.clear();
            }
            permitted.add(each);
        }
        for (ReplicaPlacement each : permitted) {
            if (RolloutStages.targetVersion(each, host.name).number()
                    == host.activeVersion.number()) {
                return null;
            }
        }
        // By rule, no server is fenced while too many are outdated; a lease renewed during that
        // time remains valid for its full duration.
        ReplicaPlacement now =
                committedPlacements.isEmpty()
                        ? initialPlacement
                        : committedPlacements.lastEntry().getValue();
        long liveCount = hosts.values().stream().filter(each -> each.isUp).count();
        long lateCount =
                hosts.values().stream()
                        .filter(
                                each ->
                                        events.nowSeconds() - each.lastOutdatedS
                                                < LEASE_DURATION.toSeconds() + PROPAGATION_S)
                        .count();
        if (lateCount > 0.25 * liveCount) {
            return null;
        }
        StringBuilder voters = new StringBuilder();
        for (Host each : hosts.values()) {
            if (each.voter != null) {
                voters.append(' ')
                        .append(each.name)
                        .append(each.isUp ? each.isPaused ? " paused" : "" : " down")
                        .append(" epoch ")
                        .append(each.placement.epoch());
            }
        }
        return host.name
                + " ran on version "
                + host.activeVersion.number()
                + ", which was not in force for it in the last "
                + boundS
                + " s; now it is "
                + RolloutStages.targetVersion(now, host.name).number()
                + ", in epoch "
                + now.epoch()
                + " of "
                + committedPlacements.lastKey()
                + " s, voters:"
                + voters;
    }
}
