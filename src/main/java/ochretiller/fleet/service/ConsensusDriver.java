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
 * Drives the consensus on an acceptor: what the acceptor has promised is durable before a message
 * that rests on it is sent. It also proposes placements and tells other servers what is committed.
 *
 * <p>On the event loop; the acceptor's file is written on a thread named {@code voter}.
 */
final class ConsensusDriver {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** Servers that are told of the epoch each time; one that has missed it says so itself. */
    private static final int ANNOUNCEMENTS_PER_TICK = 4;

    /** A proposal that is not committed by then is made again. */
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
     * Reads what a previous process of this acceptor has promised.
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
        acceptors = settings.voters();
        planner = new PlacementPlanner(settings.calm(), maxWindow, settings.replicationFactor());
        file = new AcceptorFile(settings.voterFile());
        durableState = file.read();
        consensus = consensus(settings.replicationFactor());
    }

    private EpochConsensus consensus(int replicationFactor) {
        String name = context.serverName();
        Set<String> names = Set.copyOf(acceptors);
        long seed = context.random().nextLong();
        return durableState
                .map(state -> EpochConsensus.resume(name, names, state, seed))
                .orElseGet(() -> EpochConsensus.recover(name, names, replicationFactor, seed));
    }

    /** Returns the committed placement, or nothing as long as the acceptor's state is lost. */
    Optional<ReplicaPlacement> committed() {
        return consensus.hasLostState() ? Optional.empty() : Optional.of(consensus.committed());
    }

    /** Takes a message of another acceptor or of this one. */
    void receive(String sender, ConsensusMessage message) {
        consensus.receive(sender, message);
    }

    /** Takes a replica's progress, and tells it of the epoch if it has missed that. */
    void receiveProgress(String sender, ConsensusMessage.ReplicaProgress progress) {
        planner.recordProgress(sender, progress);
        boolean hasMissedEpoch =
                !consensus.hasLostState() && progress.epoch() < consensus.committed().epoch();
        if (hasMissedEpoch && !sender.equals(context.serverName())) {
            link.send(sender, new ConsensusMessage.Committed(consensus.committed()));
        }
    }

    /**
     * Announces the committed epoch to some servers and proposes the next one if there is a reason.
     *
     * @param rolloutProposal returns what the rollout proposes, if the placement may stay
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
        ReplicaPlacement committed = consensus.committed();
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

    /** Returns the servers of the view and of the placement, each with whether it is live. */
    private Map<String, Boolean> liveness() {
        Map<String, Boolean> liveness = new HashMap<>();
        for (MemberSnapshot each : context.view().get()) {
            // An incarnation that is gone may have a successor that is live.
            liveness.merge(
                    each.member().id().name(), each.member().state().isLive(), Boolean::logicalOr);
        }
        // A server that the view has forgotten is as dead as one that it remembers.
        for (ReplicaServer each : consensus.committed().servers()) {
            liveness.putIfAbsent(each.name(), false);
        }
        return liveness;
    }

    private void announce(List<ReplicaServer> liveServers) {
        ReplicaPlacement committed = consensus.committed();
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

    /** Sends the acceptor's messages, once the state that they rest on is durable. */
    void publish() {
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
            LOG.fine("the voter's disk is far behind");
        }
    }

    private static boolean isSame(Optional<AcceptorState> stored, AcceptorState state) {
        return stored.isPresent() && stored.get().equals(state);
    }

    /** On the writing thread. If it fails the messages are not sent, as if lost on the way. */
    private void write(AcceptorState state, List<OutboundConsensusMessage> messages) {
        try {
            file.write(state);
        } catch (IOException e) {
            LOG.warning("the voter's file cannot be written: " + e.getMessage());
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
            // Servers that are no acceptors may know the epoch that this one has forgotten.
            liveServers().forEach(server -> recipients.add(server.name()));
        }
        if (message instanceof ConsensusMessage.Committed committed) {
            committed.placement().servers().forEach(server -> recipients.add(server.name()));
        }
        recipients.remove(context.serverName());
        recipients.forEach(server -> link.send(server, message));
    }

    /** Ends the writing thread once it has written what is queued. */
    void close() {
        writer.close();
    }
}
