package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.PLACEMENT;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ochretiller.fleet.consensus.ReplicaPlacement;

/** Three replicas and one claiming server on a network that may lose messages, in virtual time. */
final class ReplicationCluster {
    static final Duration WINDOW = Duration.ofSeconds(60);
    static final double FAST_BYTES_PER_SECOND = 64 << 20;
    private static final String OWNER = "s";

    final Map<String, Replica> replicas = new TreeMap<>();
    final ClaimCoordinator owner =
            new ClaimCoordinator(OWNER, 1, PLACEMENT, new SplittableRandom(1));
    private final SplittableRandom random = new SplittableRandom(5);
    Duration now = Duration.ofSeconds(1);
    double lossRate;
    long pageBytes;

    private record InFlight(String sender, OutboundMessage out) {}

    private static ReplicaLimits limits(double bytesPerSecond) {
        return new ReplicaLimits(100_000, Long.MAX_VALUE, bytesPerSecond, WINDOW);
    }

    Replica recovered(
            String name, Map<String, ReplicaEntry> entries, long changeNumber, boolean mayBeStale) {
        ReplicaSnapshot snapshot =
                new ReplicaSnapshot(
                        PLACEMENT, entries, Set.of(), Set.of(), Set.of(), changeNumber, mayBeStale);
        return Replica.recover(name, snapshot, limits(FAST_BYTES_PER_SECOND), now);
    }

    Replica recovered(String name, Map<String, ReplicaEntry> entries) {
        return recovered(name, entries, 0, false);
    }

    Replica withoutDisk(String name, double bytesPerSecond) {
        return Replica.withoutDisk(name, PLACEMENT, 1, limits(bytesPerSecond), now);
    }

    Map<String, ReplicaEntry> entries(int count, String resultPrefix) {
        Map<String, ReplicaEntry> all = new HashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimOutcome outcome = new ClaimOutcome(true, "body", resultPrefix + i);
            Duration expiry = now.plusSeconds(20 + i % 30);
            all.put(
                    "token-" + i,
                    ReplicaEntry.EMPTY.withOutcome(new ClaimId("s", 1, i), outcome, expiry));
        }
        return all;
    }

    /**
     * Runs ticks of 20 ms of virtual time, and delivers the messages of each tick that are not
     * lost.
     */
    void runTicks(int count) {
        for (int i = 0; i < count; i++) {
            now = now.plusMillis(20);
            Deque<InFlight> network = new ArrayDeque<>();
            replicas.forEach(
                    (name, replica) -> {
                        replica.tick(now);
                        sendAll(network, name, replica.takeOutbound());
                    });
            sendAll(network, OWNER, owner.takeOutbound());
            while (!network.isEmpty()) {
                InFlight message = network.poll();
                countPageBytes(message.out.message());
                if (random.nextDouble() >= lossRate) {
                    deliver(message, network);
                }
            }
        }
    }

    private static void sendAll(
            Deque<InFlight> network, String sender, List<OutboundMessage> messages) {
        messages.forEach(out -> network.add(new InFlight(sender, out)));
    }

    private void countPageBytes(ReplicationMessage message) {
        if (message instanceof ReplicationMessage.RangePage page) {
            for (ReplicationMessage.TransferredEntry item : page.entries()) {
                pageBytes += item.estimatedBytes();
            }
        }
    }

    private void deliver(InFlight message, Deque<InFlight> network) {
        String recipient = message.out.recipient();
        ReplicationMessage content = message.out.message();
        if (recipient.equals(OWNER) || content instanceof ReplicationMessage.ChangeNumberQuery) {
            deliverToOwner(message.sender, content, network);
        }
        Replica replica = replicas.get(recipient);
        if (replica != null) {
            replica.receive(message.sender, content, now);
            replica.takeAssembledResults().forEach(replica::recordResultStored);
            sendAll(network, recipient, replica.takeOutbound());
        }
    }

    private void deliverToOwner(
            String sender, ReplicationMessage content, Deque<InFlight> network) {
        if (content instanceof ReplicationMessage.ChunkRequest request) {
            owner.pendingChunkedResult(request.claimId())
                    .flatMap(result -> ChunkAssembler.slice(request, result))
                    .ifPresent(
                            chunk ->
                                    network.add(
                                            new InFlight(
                                                    OWNER, new OutboundMessage(sender, chunk))));
        }
        owner.receive(sender, content, now);
        sendAll(network, OWNER, owner.takeOutbound());
    }

    void assertReplicasEqual() {
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            assertThat(replicas.get("a").rangeDigest(range))
                    .as("range " + range)
                    .isEqualTo(replicas.get("b").rangeDigest(range))
                    .isEqualTo(replicas.get("c").rangeDigest(range));
        }
    }
}
