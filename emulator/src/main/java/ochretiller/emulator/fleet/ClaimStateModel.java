package ochretiller.emulator.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimIntent;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.CompletedClaim;
import ochretiller.fleet.replication.OutboundMessage;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicaLimits;
import ochretiller.fleet.replication.ReplicaSnapshot;
import ochretiller.fleet.replication.ReplicationMessage;

/**
 * Models two servers that claim the same token concurrently, three replicas, and a change of epoch
 * that replaces one of them by a fourth. Any message may arrive at any time or never, any server
 * may learn of the new epoch at any time or crash for good, and a replica may restart without its
 * disk. Rules: at most one run starts, and only a result that was reported is replayed.
 */
public final class ClaimStateModel implements StateModel {
    private static final String TOKEN = "token";
    private static final Duration WINDOW = Duration.ofSeconds(60);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Time by which a tick advances a clock; long enough for requests to be sent again. */
    private static final Duration CLOCK_STEP = Duration.ofMillis(310);

    private static final int SERVER_COUNT = 2;
    private static final int REPLICA_COUNT = 4;

    /** Maximum number of messages in flight; further ones are lost. */
    private static final int MAX_IN_FLIGHT = 14;

    private static final int MAX_SETTLE_ROUNDS = 60;
    private static final List<ReplicaServer> INITIAL_SERVERS =
            List.of(server(0), server(1), server(2));

    /** Computed once, since each path of actions is replayed from the start. */
    private static final ReplicaPlacement FIRST_PLACEMENT =
            new ReplicaPlacement(1, INITIAL_SERVERS, List.of(), 3);

    private static final ReplicaPlacement SECOND_PLACEMENT =
            new ReplicaPlacement(2, List.of(server(0), server(1), server(3)), INITIAL_SERVERS, 3);

    private final int maxCrashes;
    private final boolean losesGrants;
    private final Replica[] replicas = new Replica[REPLICA_COUNT];
    private final ClaimCoordinator[] coordinators = new ClaimCoordinator[SERVER_COUNT];
    private final boolean[] isCrashed = new boolean[SERVER_COUNT];
    private final Duration[] clocks = new Duration[SERVER_COUNT + REPLICA_COUNT];
    private final List<InFlightMessage> inFlight = new ArrayList<>();
    private final List<ClaimDecision> runningClaims = new ArrayList<>();
    private final List<String> decisions = new ArrayList<>();
    private final Set<String> reportedResults = new HashSet<>();
    private int runCount;
    private int crashCount;
    private String violation;

    private record InFlightMessage(String from, String to, ReplicationMessage message) {}

    /**
     * @param maxCrashes maximum number of server crashes and replica restarts together
     * @param losesGrants whether a restarted replica loses its grants without knowing so: a fault
     *     that the exploration must find
     */
    public ClaimStateModel(int maxCrashes, boolean losesGrants) {
        this.maxCrashes = maxCrashes;
        this.losesGrants = losesGrants;
        for (int i = 0; i < REPLICA_COUNT; i++) {
            replicas[i] =
                    Replica.recover(
                            "k" + i,
                            new ReplicaSnapshot(FIRST_PLACEMENT, Map.of()),
                            ReplicaLimits.ofEntries(100, WINDOW),
                            Duration.ZERO);
        }
        for (int i = 0; i < clocks.length; i++) {
            clocks[i] = Duration.ZERO;
        }
        for (int i = 0; i < SERVER_COUNT; i++) {
            int serverIndex = i;
            coordinators[i] =
                    new ClaimCoordinator("s" + i, 1, FIRST_PLACEMENT, new ConstantRandom());
            runningClaims.add(null);
            decisions.add("");
            coordinators[i].claim(
                    new ClaimIntent(TOKEN, "body", false, DEADLINE, WINDOW),
                    Duration.ZERO,
                    decision -> recordDecision(serverIndex, decision));
            collectOutbound(i);
        }
    }

    private static ReplicaServer server(int number) {
        return new ReplicaServer("k" + number, "z");
    }

    private void recordDecision(int server, ClaimDecision decision) {
        decisions.set(server, decision.kind().name());
        if (decision.kind() == ClaimDecision.Kind.RUN) {
            runningClaims.set(server, decision);
            if (++runCount > 1) {
                violation = "two runs";
            }
        } else if (decision.kind() == ClaimDecision.Kind.REPLAY
                && !reportedResults.contains(decision.outcome().orElseThrow().result())) {
            violation = "replayed what never was: " + decision.outcome();
        }
    }

    private void collectOutbound(int node) {
        String name = node < SERVER_COUNT ? "s" + node : "k" + (node - SERVER_COUNT);
        for (OutboundMessage outbound :
                node < SERVER_COUNT
                        ? coordinators[node].takeOutbound()
                        : replicas[node - SERVER_COUNT].takeOutbound()) {
            // Only the token's range has entries; requests for the other, empty ranges are dropped.
            if (outbound.message() instanceof ReplicationMessage.RangeRequest rangeRequest
                    && rangeRequest.range() != ReplicaPlacement.rangeOf(TOKEN)) {
                continue;
            }
            if (inFlight.size() < MAX_IN_FLIGHT) {
                inFlight.add(new InFlightMessage(name, outbound.recipient(), outbound.message()));
            }
        }
    }

    private void deliver(int index) {
        InFlightMessage message = inFlight.remove(index);
        int receiver = message.to.charAt(1) - '0';
        if (message.to.charAt(0) == 's') {
            if (isCrashed[receiver]) {
                return;
            }
            if (message.message instanceof ReplicationMessage.ClaimReply claimReply
                    && claimReply.vote() == ReplicationMessage.ClaimVote.STALE_EPOCH) {
                coordinators[receiver].adoptPlacement(SECOND_PLACEMENT, clocks[receiver]);
            }
            coordinators[receiver].receive(message.from, message.message, clocks[receiver]);
            collectOutbound(receiver);
        } else {
            replicas[receiver].receive(
                    message.from, message.message, clocks[SERVER_COUNT + receiver]);
            collectOutbound(SERVER_COUNT + receiver);
        }
    }

    private void advanceClock(int node) {
        clocks[node] = clocks[node].plus(CLOCK_STEP);
        if (node < SERVER_COUNT) {
            coordinators[node].tick(clocks[node]);
        } else {
            replicas[node - SERVER_COUNT].tick(clocks[node]);
        }
        collectOutbound(node);
    }

    private void adoptSecondPlacement(int node) {
        if (node < SERVER_COUNT) {
            coordinators[node].adoptPlacement(SECOND_PLACEMENT, clocks[node]);
        } else {
            replicas[node - SERVER_COUNT].adoptPlacement(SECOND_PLACEMENT, clocks[node]);
        }
        collectOutbound(node);
    }

    private void finishRun(int server) {
        ClaimDecision decision = runningClaims.set(server, null);
        String result = "by s" + server;
        reportedResults.add(result);
        coordinators[server].reportOutcome(
                new CompletedClaim(
                        decision.claimId().orElseThrow(),
                        new ClaimOutcome(true, "body", result),
                        Optional.empty(),
                        DEADLINE,
                        WINDOW),
                clocks[server],
                isStored -> decisions.set(server, "ENDED " + isStored));
        collectOutbound(server);
    }

    /**
     * Actions are numbered in this order: clock ticks of all nodes, learning of the new epoch, ends
     * of runs, server crashes, replica restarts, deliveries of messages.
     */
    @Override
    public boolean perform(int action) {
        int nodes = SERVER_COUNT + REPLICA_COUNT;
        int offset = action;
        if (offset < nodes) {
            if (offset < SERVER_COUNT && isCrashed[offset]
                    || offset >= SERVER_COUNT
                            && replicas[offset - SERVER_COUNT].laggingRangeCount() == 0) {
                return false;
            }
            advanceClock(offset);
            return true;
        }
        offset -= nodes;
        if (offset < nodes) {
            long epoch =
                    offset < SERVER_COUNT
                            ? coordinators[offset].placement().epoch()
                            : replicas[offset - SERVER_COUNT].placement().epoch();
            if (epoch == 2 || offset < SERVER_COUNT && isCrashed[offset]) {
                return false;
            }
            adoptSecondPlacement(offset);
            return true;
        }
        offset -= nodes;
        if (offset < SERVER_COUNT) {
            if (isCrashed[offset] || runningClaims.get(offset) == null) {
                return false;
            }
            finishRun(offset);
            return true;
        }
        offset -= SERVER_COUNT;
        if (offset < SERVER_COUNT) {
            if (isCrashed[offset] || crashCount == maxCrashes) {
                return false;
            }
            crashCount++;
            isCrashed[offset] = true;
            return true;
        }
        offset -= SERVER_COUNT;
        if (offset < REPLICA_COUNT) {
            if (crashCount == maxCrashes) {
                return false;
            }
            crashCount++;
            ReplicaPlacement placement = replicas[offset].placement();
            ReplicaLimits limits = ReplicaLimits.ofEntries(100, WINDOW);
            Duration now = clocks[SERVER_COUNT + offset];
            replicas[offset] =
                    losesGrants
                            ? Replica.recover(
                                    "k" + offset,
                                    new ReplicaSnapshot(placement, Map.of()),
                                    limits,
                                    now)
                            : Replica.withoutDisk("k" + offset, placement, 0, limits, now);
            return true;
        }
        offset -= REPLICA_COUNT;
        if (offset >= inFlight.size()) {
            return false;
        }
        deliver(offset);
        return true;
    }

    @Override
    public int actionCount() {
        return 2 * (SERVER_COUNT + REPLICA_COUNT)
                + 2 * SERVER_COUNT
                + REPLICA_COUNT
                + inFlight.size();
    }

    @Override
    public long fingerprint() {
        StringBuilder text = new StringBuilder(2048);
        for (int i = 0; i < SERVER_COUNT; i++) {
            text.append(
                            isCrashed[i]
                                    ? "dead"
                                    : coordinators[i].describeState(clocks[i])
                                            + DEADLINE.minus(clocks[i]))
                    .append(decisions.get(i))
                    .append(runningClaims.get(i) != null);
        }
        for (int i = 0; i < REPLICA_COUNT; i++) {
            text.append(replicas[i].describeState(clocks[SERVER_COUNT + i]));
        }
        text.append(inFlight.stream().map(InFlightMessage::toString).sorted().toList())
                .append(crashCount)
                .append(runCount);
        return LongHashFunction.xx3().hashChars(text);
    }

    @Override
    public String violation() {
        return violation;
    }

    /** Settled means that each attempt has a decision, which it must have after its deadline. */
    @Override
    public int roundsToSettle() {
        for (int i = 0; i < MAX_SETTLE_ROUNDS; i++) {
            boolean hasUndecided = false;
            for (int server = 0; server < SERVER_COUNT; server++) {
                hasUndecided |= !isCrashed[server] && decisions.get(server).isEmpty();
            }
            if (!hasUndecided) {
                return violation == null ? i : -1;
            }
            for (int server = 0; server < SERVER_COUNT; server++) {
                if (!isCrashed[server]) {
                    advanceClock(server);
                }
            }
            while (!inFlight.isEmpty()) {
                deliver(0);
            }
        }
        return -1;
    }
}
