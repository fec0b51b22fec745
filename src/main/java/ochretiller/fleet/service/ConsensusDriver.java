package ochretiller.fleet.service;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.logging.Logger;
import ochretiller.fleet.consensus.AcceptorState;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.EpochConsensus;
import ochretiller.fleet.consensus.OutboundConsensusMessage;
import ochretiller.fleet.consensus.PlacementPlanner;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.membership.MemberSnapshot;

/**
 * Drives the consensus on an acceptor: writes the acceptor's state durably before it sends messages
 * that depend on it, proposes placements, and announces the committed placement to other servers.
 *
 * <p>Confined to the event loop; the acceptor's file is written on a thread named {@code voter}.
 */
final class ConsensusDriver {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** Servers that receive the epoch in each tick; a progress report reveals a missed epoch. */
    private static final int ANNOUNCEMENTS_PER_TICK = 4;

    /** Time after which a proposal that is not committed is made again. */
    private static final Duration PROPOSAL_RETRY_INTERVAL = Duration.ofSeconds(1);

    private static final int MAX_QUEUED_WRITES = 64;

    private final FleetContext context;
    private final FleetLink link;
    private final List<String> acceptors;
    private final PlacementPlanner planner;
    private final AcceptorFile file;
    private final BackgroundWriter writer = new BackgroundWriter("voter", MAX_QUEUED_WRITES);
    private final EpochConsensus consensus;
    private Optional<AcceptorState> durableState;
    private Optional<AcceptorState> submittedState = Optional.empty();
    private Duration proposedAt = Duration.ZERO.minusSeconds(60);

    /**
     * Creates a driver with the state that a previous process of this acceptor wrote.
     *
     * @param maxWindow longest idempotency window
     */
    ConsensusDriver(
            FleetContext context,
            FleetLink link,
            ReplicationSettings settings,
            Duration maxWindow) {
        this.context = context;
        this.link = link;
        acceptors = settings.acceptors();
        planner =
                new PlacementPlanner(
                        settings.stabilityPeriod(), maxWindow, settings.replicationFactor());
        file = new AcceptorFile(settings.acceptorFile());
        durableState = file.read();
        consensus = createConsensus(settings.replicationFactor());
    }

    private EpochConsensus createConsensus(int replicationFactor) {
        String name = context.serverName();
        Set<String> names = Set.copyOf(acceptors);
        long seed = context.random().nextLong();
        return durableState
                .map(state -> EpochConsensus.resume(name, names, state, seed))
                .orElseGet(() -> EpochConsensus.recover(name, names, replicationFactor, seed));
    }

    /** Returns the committed placement, or empty while the acceptor has lost its state. */
    Optional<ReplicaPlacement> committedPlacement() {
        return consensus.hasLostState()
                ? Optional.empty()
                : Optional.of(consensus.committedPlacement());
    }

    /** Handles a message from another server or from this one. */
    void receive(String sender, ConsensusMessage message) {
        consensus.receive(sender, message);
    }

    /** Records a server's progress, and sends it the committed epoch if it has missed it. */
    void receiveProgress(String sender, ConsensusMessage.ReplicaProgress progress) {
        planner.recordProgress(sender, progress);
        boolean hasMissedEpoch =
                !consensus.hasLostState()
                        && progress.epoch() < consensus.committedPlacement().epoch();
        if (hasMissedEpoch && !sender.equals(context.serverName())) {
            link.send(sender, new ConsensusMessage.Committed(consensus.committedPlacement()));
        }
    }

    /**
     * Announces the committed epoch to random servers and proposes the next one if needed.
     *
     * @param rolloutProposal returns the rollout's proposal; called if the replicas stay the same
     */
    void tick(
            Duration now, Function<ReplicaPlacement, Optional<ReplicaPlacement>> rolloutProposal) {
        if (consensus.hasLostState()) {
            consensus.requestRecovery();
            return;
        }
        List<ReplicaServer> liveServers = liveServers();
        planner.observe(liveness(), now);
        announce(liveServers);
        boolean isPending =
                consensus.isProposing()
                        && now.minus(proposedAt).compareTo(PROPOSAL_RETRY_INTERVAL) < 0;
        if (isPending) {
            return;
        }
        ReplicaPlacement committed = consensus.committedPlacement();
        planner.nextPlacement(committed, liveServers, now)
                .or(() -> rolloutProposal.apply(committed))
                .ifPresent(placement -> propose(placement, now));
    }

    private void propose(ReplicaPlacement placement, Duration now) {
        proposedAt = now;
        consensus.propose(placement);
    }

    private List<ReplicaServer> liveServers() {
        List<ReplicaServer> servers = new ArrayList<>();
        for (MemberSnapshot each : context.view().get()) {
            if (each.member().state().isLive()) {
                String server = each.member().id().name();
                servers.add(new ReplicaServer(server, each.member().zone()));
            }
        }
        return servers;
    }

    /** Returns whether each server of the view and of the placement is live, by name. */
    private Map<String, Boolean> liveness() {
        Map<String, Boolean> liveness = new HashMap<>();
        for (MemberSnapshot each : context.view().get()) {
            // The view may contain a dead and a live incarnation of one server.
            liveness.merge(
                    each.member().id().name(), each.member().state().isLive(), Boolean::logicalOr);
        }
        // A server of the placement that the view no longer contains is dead.
        for (ReplicaServer each : consensus.committedPlacement().servers()) {
            liveness.putIfAbsent(each.name(), false);
        }
        return liveness;
    }

    private void announce(List<ReplicaServer> liveServers) {
        ReplicaPlacement committed = consensus.committedPlacement();
        if (committed.epoch() == 0) {
            return;
        }
        List<ReplicaServer> remaining = new ArrayList<>(liveServers);
        for (int i = 0; i < ANNOUNCEMENTS_PER_TICK && !remaining.isEmpty(); i++) {
            int index = context.random().nextInt(remaining.size());
            String server = remaining.remove(index).name();
            if (!server.equals(context.serverName())) {
                link.send(server, new ConsensusMessage.Committed(committed));
            }
        }
    }

    /** Sends the acceptor's messages once the state that they depend on is durable. */
    void flush() {
        List<OutboundConsensusMessage> messages = consensus.takeOutbound();
        AcceptorState state = consensus.durableState();
        if (consensus.hasLostState() || isSame(durableState, state)) {
            messages.forEach(this::send);
            return;
        }
        if (messages.isEmpty() && isSame(submittedState, state)) {
            return;
        }
        submittedState = Optional.of(state);
        if (!writer.submit(() -> write(state, messages))) {
            LOG.fine("fleet: write queue of the voter file is full; messages are not sent");
        }
    }

    private static boolean isSame(Optional<AcceptorState> stored, AcceptorState state) {
        return stored.isPresent() && stored.get().equals(state);
    }

    /** Runs on the writer thread. If the write fails, the messages count as lost. */
    private void write(AcceptorState state, List<OutboundConsensusMessage> messages) {
        try {
            file.write(state);
        } catch (IOException e) {
            LOG.warning("fleet: cannot write the voter file: " + e.getMessage());
            return;
        }
        context.scheduler()
                .post(
                        () -> {
                            durableState = Optional.of(state);
                            messages.forEach(this::send);
                        });
    }

    private void send(OutboundConsensusMessage outbound) {
        if (link.isClosed()) {
            return;
        }
        ConsensusMessage message = outbound.message();
        if (outbound.recipient().isPresent()) {
            link.send(outbound.recipient().get(), message);
            return;
        }
        Set<String> recipients = new LinkedHashSet<>(acceptors);
        if (message instanceof ConsensusMessage.RecoveryQuery) {
            // Any live server may know the epoch that this acceptor has lost.
            liveServers().forEach(server -> recipients.add(server.name()));
        }
        if (message instanceof ConsensusMessage.Committed committed) {
            committed.placement().servers().forEach(server -> recipients.add(server.name()));
        }
        recipients.remove(context.serverName());
        recipients.forEach(server -> link.send(server, message));
    }

    /** Stops the writer thread after it has completed queued writes. */
    void close() {
        writer.close();
    }
}
