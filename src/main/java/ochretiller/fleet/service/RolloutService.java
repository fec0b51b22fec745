package ochretiller.fleet.service;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Logger;
import ochretiller.audit.ChainHead;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionDownload;
import ochretiller.metrics.Metrics;

/**
 * Runs a server's part in the rollout of versions: activates the version that is committed for this
 * server, reports to the acceptors and renews its lease. On an acceptor it also grants leases,
 * advances rollouts and handles admin commands.
 *
 * <p>Methods run on the event loop unless stated otherwise.
 */
public final class RolloutService {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

    /**
     * Divisor of the interval. Each report is early by a random time of up to the quotient, so that
     * servers do not report in step.
     */
    private static final int REPORT_JITTER_DIVISOR = 4;

    private final FleetContext context;
    private final List<String> acceptors;
    private final VersionActivator activator;
    private final VersionFiles files;
    private final VersionFollower follower;
    private final OfferedVersionReceiver offeredVersions;
    private final LeaseHolder leaseHolder;
    private final RolloutAcceptor acceptor;
    private final RolloutProposals proposals;
    private final RolloutStatusJson statusJson;
    private ReplicaPlacement placement = ReplicaPlacement.empty(1);
    private Duration reportedAt = Duration.ZERO;
    private boolean isClosed;

    /**
     * Creates the service and activates the version that a previous process used last.
     *
     * @param build build number of this program
     * @param acceptors names of all acceptors
     */
    RolloutService(
            FleetContext context,
            RolloutSettings settings,
            String build,
            List<String> acceptors,
            VersionActivator activator) {
        this.context = context;
        this.acceptors = List.copyOf(acceptors);
        this.activator = activator;
        files = new VersionFiles(settings.directory(), context.scheduler());
        follower = new VersionFollower(context, build, this.acceptors, files, activator);
        offeredVersions = new OfferedVersionReceiver(context, this.acceptors, files, follower);
        leaseHolder = new LeaseHolder(context, this.acceptors, settings.leaseDuration(), activator);
        acceptor = new RolloutAcceptor(context, settings, activator);
        proposals = new RolloutProposals(context, this.acceptors, files, follower, activator);
        statusJson = new RolloutStatusJson(context.serverName(), follower, leaseHolder, acceptor);
        follower.restore();
        registerMetrics(context.metrics());
    }

    private void registerMetrics(Metrics metrics) {
        metrics.gauge(
                "fleet_version",
                "The version that this server acts on",
                follower::activeNumberGauge);
        metrics.gauge(
                "fleet_versions_out",
                "Servers that this voter shuts out",
                acceptor::fencedServersGauge);
        metrics.gauge(
                "fleet_lease_left_seconds",
                "How long this server may act on without a word of the voters",
                leaseHolder::remainingSecondsGauge);
    }

    /** Returns the number of the active version, to which newly read invocations are bound. */
    public long activeVersion() {
        return follower.active().number();
    }

    /**
     * Returns whether this server's lease allows it to serve. Must be checked immediately before a
     * keyed run starts.
     */
    public boolean isAllowedToServe() {
        return leaseHolder.isAllowedToServe();
    }

    /** Counts the outcome of an invocation that was bound to a version. */
    public void recordOutcome(long version, VersionCounters outcome) {
        follower.recordOutcome(version, outcome);
    }

    /** Adopts a committed placement; placements that are not newer are ignored. */
    void adoptPlacement(ReplicaPlacement committed) {
        if (committed.epoch() <= placement.epoch() && !placement.servers().isEmpty()) {
            return;
        }
        RolloutState before = placement.rollout();
        placement = committed;
        acceptor.adoptPlacement(committed, context.scheduler().now());
        if (!committed.rollout().equals(before)) {
            recordProgress(committed.rollout());
        }
        proposals.adoptState(committed.rollout());
        follower.adoptPlacement(committed);
    }

    private void recordProgress(RolloutState rollout) {
        String progress =
                rollout.isComplete()
                        ? " is in force"
                        : " comes to stage "
                                + rollout.stage()
                                + ", "
                                + rollout.phase().externalName();
        String text = "version " + rollout.target().number() + progress;
        LOG.info("fleet: " + text + ": " + rollout.target().reason());
        activator.recordEvent(RolloutEvent.ROLLOUT_CHANGED, rollout.target(), text);
    }

    /** Requests missing chunks, logs lease changes, and reports to the acceptors when due. */
    void tick() {
        Duration now = context.scheduler().now();
        follower.tick(now);
        offeredVersions.tick(now);
        leaseHolder.reportTransition(follower.active());
        if (now.minus(reportedAt).compareTo(REPORT_INTERVAL) < 0) {
            return;
        }
        long maxJitterNanos = REPORT_INTERVAL.toNanos() / REPORT_JITTER_DIVISOR;
        double jitterNanos = maxJitterNanos * context.random().nextDouble();
        reportedAt = now.minus(Duration.ofNanos((long) jitterNanos));
        proposals.offerToOthers();
        reportToAcceptors(now);
    }

    private void reportToAcceptors(Duration now) {
        ChainHead auditHead = activator.auditHead();
        RolloutMessage.StatusReport report =
                new RolloutMessage.StatusReport(
                        leaseHolder.startRenewal(now),
                        follower.report(),
                        auditHead.number(),
                        auditHead.hash());
        for (String each : acceptors) {
            if (each.equals(context.serverName())) {
                receive(each, report);
            } else {
                context.sender().send(each, report);
            }
        }
    }

    /** Handles a message from another server or from this one. */
    void receive(String sender, RolloutMessage message) {
        if (isClosed) {
            return;
        }
        Duration now = context.scheduler().now();
        if (message instanceof RolloutMessage.StatusReport report) {
            receiveReport(sender, report, now);
        } else if (message instanceof RolloutMessage.LeaseReply reply) {
            leaseHolder.receiveReply(sender, reply.requestId(), reply.granted());
        } else if (message instanceof RolloutMessage.ChunkRequest request) {
            sendChunk(sender, request);
        } else if (message instanceof RolloutMessage.VersionOffer offer) {
            offeredVersions.receiveOffer(sender, offer, now);
        } else if (message instanceof RolloutMessage.VersionStored stored) {
            proposals.receiveConfirmation(sender, stored.hash());
        } else if (message instanceof RolloutMessage.Chunk chunk) {
            offeredVersions.receive(chunk, now);
            follower.receive(chunk, now);
        }
    }

    private void receiveReport(String sender, RolloutMessage.StatusReport report, Duration now) {
        if (!acceptors.contains(context.serverName())) {
            return;
        }
        boolean isGranted =
                acceptor.receiveReport(sender, report, placement, follower.active(), now);
        if (sender.equals(context.serverName())) {
            leaseHolder.receiveReply(sender, report.requestId(), isGranted);
        } else {
            context.sender()
                    .send(sender, new RolloutMessage.LeaseReply(report.requestId(), isGranted));
        }
    }

    private void sendChunk(String receiver, RolloutMessage.ChunkRequest request) {
        files.find(request.hash())
                .flatMap(version -> VersionDownload.slice(request, version))
                .ifPresent(chunk -> context.sender().send(receiver, chunk));
    }

    /**
     * Returns the placement that this acceptor proposes next, if any: an operator's request, or
     * else the next step that the servers' reports allow.
     */
    Optional<ReplicaPlacement> nextPlacement(ReplicaPlacement committed) {
        Set<String> live = context.liveServers();
        acceptor.observeLiveServers(live);
        return proposals
                .nextProposal()
                .or(() -> acceptor.nextState(committed, live, context.scheduler().now()))
                .map(committed::with);
    }

    /** Publishes a version for an admin command; returns the result as JSON. */
    String publish(String arguments) {
        return proposals.publish(arguments);
    }

    /** Publishes a version; returns the result as JSON. */
    String publish(String publisher, String reason, String minimumBuild, byte[] version) {
        return proposals.publish(publisher, reason, minimumBuild, version);
    }

    /** Pauses, resumes or rolls back the rollout for an admin command; returns JSON. */
    String executeCommand(String command, String operator) {
        return proposals.executeCommand(command, operator);
    }

    /** Returns the state of the rollout, as JSON. */
    String status() {
        return statusJson.status(placement.rollout());
    }

    /** Ignores messages from now on and completes queued file writes. */
    void close() {
        isClosed = true;
        proposals.close();
        files.close();
    }
}
