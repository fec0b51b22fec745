package ochretiller.fleet.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimModes;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.store.Store;

/**
 * Runs a server's part in the replication of claims and outcomes: dispatches ticks and messages to
 * the acceptor, the replica, the claims of this server and the rollout, and applies committed
 * placements to each of them. Confined to the event loop.
 */
public final class ReplicationService {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    /** Approximate interval of replicas' reports and of acceptors' announcements and proposals. */
    private static final Duration PROGRESS_REPORT_INTERVAL = Duration.ofMillis(500);

    /**
     * Divisor of the interval. Each report is early by a random time of up to the quotient, so that
     * servers do not report in step.
     */
    private static final int REPORT_JITTER_DIVISOR = 2;

    /** Interval at which the replica's view of live peers and the gauges are updated. */
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(500);

    /** Maximum number of incarnations recorded on the disk, including the current one. */
    private static final int MAX_RECORDED_INCARNATIONS = 64;

    private final FleetContext context;
    private final FleetLink link;
    private final List<String> acceptors;
    private final Optional<ConsensusDriver> consensus;
    private final ReplicaHost replicaHost;
    private final List<Long> incarnations;
    private final ClaimCoordinator coordinator;
    private final ClaimService claims;
    private final PreviousClaims previousClaims;
    private final ResultChunkSender resultChunks;
    private final ReplicationMetrics metrics;
    private Optional<RolloutService> rollout = Optional.empty();
    private long epoch;
    private Duration reportedAt = Duration.ZERO;
    private Duration observedAt = Duration.ZERO;

    /**
     * Creates the service and recovers the state of a previous process.
     *
     * @param incarnation incarnation of this server
     * @param maxWindow longest idempotency window
     * @param store store for replicated entries, not started yet; empty to use memory only
     */
    ReplicationService(
            FleetContext context,
            ReplicationSettings settings,
            long incarnation,
            Duration maxWindow,
            Optional<Store> store) {
        this.context = context;
        acceptors = settings.acceptors();
        link = new FleetLink(context, this::receive);
        ClaimModes modes =
                new ClaimModes(settings.claimModes(), maxWindow, context.scheduler().now());
        consensus =
                acceptors.contains(context.serverName())
                        ? Optional.of(new ConsensusDriver(context, link, settings, maxWindow))
                        : Optional.empty();
        Optional<ReplicaStorage> storage =
                store.map(opened -> new ReplicaStorage(opened, maxWindow));
        replicaHost = new ReplicaHost(context, link, settings, maxWindow, storage, this::metadata);
        RecoveredReplica recovered = replicaHost.recoveredState();
        incarnations = appendIncarnation(recovered.metadata().incarnations(), incarnation);
        ReplicaPlacement placement =
                replicaHost
                        .replica()
                        .map(Replica::placement)
                        .orElseGet(() -> ReplicaPlacement.empty(settings.replicationFactor()));
        epoch = placement.epoch();
        coordinator =
                new ClaimCoordinator(
                        context.serverName(), incarnation, placement, context.random());
        coordinator.restoreChangeNumbers(recovered.metadata().observedChangeNumbers());
        claims = new ClaimService(context, coordinator, modes, this::flush);
        previousClaims =
                new PreviousClaims(
                        context.scheduler(),
                        new ClaimId(context.serverName(), incarnation, 0),
                        maxWindow,
                        recovered,
                        coordinator,
                        claims.metrics(),
                        this::flush);
        resultChunks = new ResultChunkSender(link, coordinator, replicaHost.results());
        metrics = new ReplicationMetrics(context.metrics(), claims.latency());
    }

    /** Returns the latest incarnations that used this disk, oldest first and this one last. */
    private static List<Long> appendIncarnation(List<Long> previous, long incarnation) {
        List<Long> all = new ArrayList<>(previous);
        all.add(incarnation);
        int first = Math.max(0, all.size() - MAX_RECORDED_INCARNATIONS);
        return List.copyOf(all.subList(first, all.size()));
    }

    private ReplicaMetadata metadata() {
        return new ReplicaMetadata(coordinator.observedChangeNumbers(), incarnations);
    }

    /** Sets the rollout service, which receives committed placements and rollout messages. */
    void attachRollout(RolloutService attached) {
        rollout = Optional.of(attached);
    }

    /** Applies the recovered placement and starts ticking. */
    void start() {
        if (epoch > 0) {
            ReplicaPlacement recovered = coordinator.placement();
            rollout.ifPresent(service -> service.adoptPlacement(recovered));
            consensus.ifPresent(
                    driver ->
                            driver.receive(
                                    context.serverName(),
                                    new ConsensusMessage.Committed(recovered)));
        }
        consensus.flatMap(ConsensusDriver::committedPlacement).ifPresent(this::adoptPlacement);
        tick();
    }

    /** Stops sending and receiving, because another process uses this server's name. */
    void disableMessaging() {
        link.disable();
    }

    /** Stops all parts; operations that complete later have no effect. */
    void close() {
        link.close();
        previousClaims.close();
        consensus.ifPresent(ConsensusDriver::close);
        rollout.ifPresent(RolloutService::close);
    }

    private void tick() {
        if (link.isClosed()) {
            return;
        }
        Duration now = context.scheduler().now();
        coordinator.tick(now);
        rollout.ifPresent(RolloutService::tick);
        tickReplica(now);
        if (now.minus(reportedAt).compareTo(PROGRESS_REPORT_INTERVAL) >= 0) {
            long maxJitterNanos = PROGRESS_REPORT_INTERVAL.toNanos() / REPORT_JITTER_DIVISOR;
            double jitterNanos = maxJitterNanos * context.random().nextDouble();
            reportedAt = now.minus(Duration.ofNanos((long) jitterNanos));
            reportProgress();
            consensus.ifPresent(driver -> driver.tick(now, this::rolloutProposal));
        }
        flush();
        context.scheduler().runAfter(TICK_INTERVAL, this::tick);
    }

    private void tickReplica(Duration now) {
        if (replicaHost.replica().isEmpty()) {
            return;
        }
        replicaHost.tick(now);
        if (now.minus(observedAt).compareTo(OBSERVATION_INTERVAL) >= 0) {
            observedAt = now;
            replicaHost.observeLivePeers(context.liveServers());
            claims.latency().publish();
            metrics.publish(
                    ReplicationMetricValues.of(
                            epoch,
                            replicaHost.replica().get(),
                            replicaHost.barrier(),
                            coordinator,
                            now));
        }
        replicaHost.retryWrites(now);
        replicaHost.logStatus(now);
    }

    private Optional<ReplicaPlacement> rolloutProposal(ReplicaPlacement committed) {
        if (committed.epoch() == 0) {
            return Optional.empty();
        }
        return rollout.flatMap(service -> service.nextPlacement(committed));
    }

    /**
     * Reports a replica's progress to all acceptors, since the next epoch waits for it. A server
     * without a replica reports to a random acceptor, which sends it the epoch if it has missed it.
     */
    private void reportProgress() {
        Optional<Replica> replica =
                replicaHost
                        .replica()
                        .filter(ignored -> coordinator.placement().contains(context.serverName()));
        if (replica.isPresent()) {
            int laggingRanges =
                    replica.get().isCheckingDisk()
                            ? ReplicaPlacement.RANGE_COUNT
                            : replica.get().laggingRangeCount();
            ConsensusMessage report = new ConsensusMessage.ReplicaProgress(epoch, laggingRanges);
            acceptors.forEach(acceptor -> link.send(acceptor, report));
        } else {
            String acceptor = acceptors.get(context.random().nextInt(acceptors.size()));
            link.send(acceptor, new ConsensusMessage.ReplicaProgress(epoch, 0));
        }
    }

    /** Handles a message from a live server or from this one. */
    void receive(String sender, Object message) {
        if (!link.isReceiving()) {
            return;
        }
        if (message instanceof ConsensusMessage consensusMessage) {
            receiveConsensus(sender, consensusMessage);
        } else if (message instanceof RolloutMessage rolloutMessage) {
            rollout.ifPresent(service -> service.receive(sender, rolloutMessage));
        } else if (message instanceof ReplicationMessage replicationMessage) {
            receiveReplication(sender, replicationMessage);
        }
        flush();
    }

    private void receiveConsensus(String sender, ConsensusMessage message) {
        consensus.ifPresent(driver -> driver.receive(sender, message));
        if (message instanceof ConsensusMessage.ReplicaProgress progress) {
            consensus.ifPresent(driver -> driver.receiveProgress(sender, progress));
        }
        if (!acceptors.contains(sender)) {
            return;
        }
        if (message instanceof ConsensusMessage.Committed committed) {
            adoptPlacement(committed.placement());
        }
        // If all acceptors have lost their state, they recover the epoch from other servers.
        if (needsCommittedEpoch(message) && epoch > 0 && !sender.equals(context.serverName())) {
            link.send(sender, new ConsensusMessage.Committed(coordinator.placement()));
        }
    }

    private boolean needsCommittedEpoch(ConsensusMessage message) {
        return message instanceof ConsensusMessage.RecoveryQuery
                || message instanceof ConsensusMessage.Committed committed
                        && committed.placement().epoch() < epoch;
    }

    private void receiveReplication(String sender, ReplicationMessage message) {
        Duration now = context.scheduler().now();
        if (message instanceof ReplicationMessage.RangeRequest request
                && request.placement().isPresent()) {
            adoptPlacement(request.placement().get());
        } else if (message instanceof ReplicationMessage.ClaimRequest claim
                && !sender.equals(context.serverName())) {
            claims.observeClaim(claim.fingerprint(), claim.transitional(), now);
        } else if (message instanceof ReplicationMessage.ChunkRequest request) {
            resultChunks.receive(sender, request);
        } else if (message instanceof ReplicationMessage.OwnerQuery query) {
            previousClaims.receive(query, replicaHost.replica());
        }
        replicaHost.receive(sender, message, now);
        coordinator.receive(sender, message, now);
    }

    private void adoptPlacement(ReplicaPlacement placement) {
        if (placement.epoch() == 0) {
            return;
        }
        Duration now = context.scheduler().now();
        if (placement.epoch() > epoch) {
            LOG.info(() -> "fleet: this server adopted " + placement);
        }
        epoch = Math.max(epoch, placement.epoch());
        replicaHost.adoptPlacement(placement, now);
        coordinator.adoptPlacement(placement, now);
        rollout.ifPresent(service -> service.adoptPlacement(coordinator.placement()));
    }

    /** Adopts a newly committed placement, sends queued messages and starts pending writes. */
    private void flush() {
        consensus
                .flatMap(ConsensusDriver::committedPlacement)
                .filter(committed -> committed.epoch() > epoch)
                .ifPresent(this::adoptPlacement);
        consensus.ifPresent(ConsensusDriver::flush);
        for (OutboundMessage each : coordinator.takeOutbound()) {
            link.send(each.recipient(), each.message());
        }
        replicaHost.flush();
    }

    /** Sets the lookup of runs by previous processes of this server. */
    public void setPreviousRunLookup(PreviousRunLookup lookup) {
        previousClaims.setPreviousRunLookup(lookup);
    }

    /** Returns the source of the JSON for admin commands. */
    ReplicationStatusJson statusJson() {
        return new ReplicationStatusJson(context, coordinator, replicaHost);
    }

    /** Schedules a comparison of each range with each other replica; returns the number as JSON. */
    String repair() {
        int comparisons = replicaHost.replica().map(Replica::compareAllRanges).orElse(0);
        LOG.info(
                "fleet: admin command requests a comparison of all ranges: "
                        + comparisons
                        + " comparisons");
        return "{\"compares\":" + comparisons + "}";
    }

    /** Returns the fingerprint by which claims and outcomes identify a request's content. */
    public static String requestFingerprint(String operation, byte[] bodyHash) {
        return RequestFingerprint.of(operation, bodyHash);
    }

    /**
     * Asks the fleet whether a keyed invocation may run here.
     *
     * @param fingerprint {@link #requestFingerprint} of the request
     * @param deadline latest time at which its run may begin
     * @param windowEnd end of its idempotency window
     * @param completion called once with the decision, possibly before this method returns
     */
    public void claim(
            String token,
            String fingerprint,
            Duration deadline,
            Duration windowEnd,
            Consumer<ClaimDecision> completion) {
        claims.claim(token, fingerprint, deadline, windowEnd, completion);
    }

    /** Reports that a claimed run was never started, so that its token is released. */
    public void releaseClaim(ClaimId claimId, Duration windowEnd) {
        claims.releaseClaim(claimId, windowEnd);
    }

    /**
     * Reports that a claimed run has ended.
     *
     * @param result null if the run did not succeed
     * @param deadline when the response is due
     * @param completion called once with whether a majority stored the outcome by the deadline
     */
    public void reportOutcome(
            ClaimId claimId,
            String fingerprint,
            byte[] result,
            Duration deadline,
            Duration windowEnd,
            Consumer<Boolean> completion) {
        claims.reportOutcome(
                claimId, fingerprint, Optional.ofNullable(result), deadline, windowEnd, completion);
    }
}
