package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import org.junit.jupiter.api.Test;

/** Checks that a message is sent only once the changes that it depends on are durable. */
class DurabilityBarrierTest {
    private final DurabilityBarrier barrier = new DurabilityBarrier(new SplittableRandom(3));
    private final List<OutboundMessage> sent = new ArrayList<>();
    private Duration now = Duration.ofSeconds(1);

    private static OutboundMessage message(String recipient) {
        return new OutboundMessage(
                recipient, new ReplicationMessage.ClaimQuery(1, "x", new ClaimId("s", 1, 1)));
    }

    /** Submits a change, and records what may be sent at once. */
    private List<PendingWrite> submit(
            List<String> tokens, boolean metadata, OutboundMessage... messages) {
        SubmittedChange change = barrier.submit(tokens, metadata, List.of(messages));
        sent.addAll(change.sendableMessages());
        return change.writes();
    }

    @Test
    void messageIsSentWhenItsChangesAndAllEarlierOnesAreDurable() {
        List<PendingWrite> writes = submit(List.of("x", "y"), false, message("a"));
        assertThat(submit(List.of(), false, message("b"))).isEmpty();
        assertThat(sent).as("message b might depend on token x").isEmpty();
        assertThat(barrier.acknowledge(writes.get(0), true, now)).isEmpty();
        assertThat(barrier.acknowledge(writes.get(1), true, now))
                .containsExactly(message("a"), message("b"));
        submit(List.of(), false, message("c"));
        assertThat(sent).as("no write is outstanding").containsExactly(message("c"));
    }

    @Test
    void metadataIsWrittenAfterTheEntriesItRefersTo() {
        assertThat(submit(List.of("x"), true))
                .extracting(PendingWrite::token)
                .containsExactly(Optional.of("x"), Optional.empty());
    }

    @Test
    void nothingIsSentAfterAFailureUntilEverythingIsRewritten() {
        List<PendingWrite> writes = submit(List.of("x", "y"), false, message("a"));
        assertThat(barrier.acknowledge(writes.get(0), false, now)).isEmpty();
        assertThat(barrier.isDegraded()).isTrue();
        assertThat(submit(List.of("z"), true, message("b")))
                .as("writes wait for the retry")
                .isEmpty();
        assertThat(barrier.acknowledge(writes.get(1), true, now))
                .as("the write was issued before the failure")
                .isEmpty();
        now = now.plusSeconds(10);
        List<PendingWrite> retries = barrier.retryWrites(now);
        assertThat(retries)
                .extracting(PendingWrite::token)
                .containsExactly(
                        Optional.of("x"), Optional.of("y"), Optional.of("z"), Optional.empty());
        assertThat(barrier.retryWrites(now.plusSeconds(10))).as("one retry at a time").isEmpty();
        for (PendingWrite write : retries) {
            assertThat(barrier.isDegraded()).isTrue();
            assertThat(barrier.acknowledge(write, true, now)).isEmpty();
        }
        assertThat(barrier.isDegraded()).isFalse();
        assertThat(sent).as("unsent messages are dropped, as if lost by the network").isEmpty();
        assertThat(barrier.droppedMessages()).isEqualTo(2);
        submit(List.of(), false, message("c"));
        assertThat(sent).containsExactly(message("c"));
    }

    /** Runs a replica on a disk that fails, stalls and loses unacknowledged writes. */
    @Test
    void everySentGrantIsDurableDespiteDiskFailures() {
        int grants = 0;
        for (int seed = 0; seed < 300; seed++) {
            grants += grantsOnAFailingDisk(seed);
        }
        assertThat(grants).as("grants sent despite the failures").isGreaterThan(5_000);
    }

    private int grantsOnAFailingDisk(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReplicaPlacement placement =
                new ReplicaPlacement(2, List.of(new ReplicaServer("a", "")), List.of(), 1);
        ReplicaLimits limits = ReplicaLimits.ofEntries(1_000, Duration.ofMinutes(1));
        Replica replica =
                Replica.recover("a", new ReplicaSnapshot(placement, Map.of()), limits, now);
        DurabilityBarrier ownBarrier = new DurabilityBarrier(random);
        Set<String> disk = new HashSet<>();
        List<PendingWrite> outstanding = new ArrayList<>();
        Set<String> granted = new HashSet<>();
        for (int step = 0; step < 200; step++) {
            now = now.plusMillis(40);
            String token = "t" + random.nextInt(80);
            ClaimId id = new ClaimId("s", 1, 1);
            replica.receive(
                    "s",
                    new ReplicationMessage.ClaimRequest(2, token, id, "b", Duration.ofSeconds(50)),
                    now);
            SubmittedChange change =
                    ownBarrier.submit(
                            replica.takeChangedTokens(),
                            replica.takeMetadataChanged(),
                            replica.takeOutbound());
            outstanding.addAll(change.writes());
            outstanding.addAll(ownBarrier.retryWrites(now));
            List<OutboundMessage> sendable = new ArrayList<>(change.sendableMessages());
            sendable.addAll(acknowledgeSome(ownBarrier, outstanding, disk, random));
            granted.addAll(grantedTokens(sendable));
            assertThat(disk).as("seed " + seed).containsAll(granted);
        }
        return granted.size();
    }

    private List<OutboundMessage> acknowledgeSome(
            DurabilityBarrier ownBarrier,
            List<PendingWrite> outstanding,
            Set<String> disk,
            RandomGenerator random) {
        List<OutboundMessage> sendable = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0 && !outstanding.isEmpty(); i--) {
            PendingWrite write = outstanding.remove(0);
            boolean durable = random.nextInt(60) != 0;
            if ((durable || random.nextBoolean()) && write.token().isPresent()) {
                disk.add(write.token().get());
            }
            sendable.addAll(ownBarrier.acknowledge(write, durable, now));
        }
        return sendable;
    }

    private static Set<String> grantedTokens(List<OutboundMessage> messages) {
        Set<String> tokens = new HashSet<>();
        for (OutboundMessage out : messages) {
            ReplicationMessage.ClaimReply reply = (ReplicationMessage.ClaimReply) out.message();
            if (reply.vote() == ReplicationMessage.ClaimVote.GRANTED) {
                tokens.add(reply.token());
            }
        }
        return tokens;
    }
}
