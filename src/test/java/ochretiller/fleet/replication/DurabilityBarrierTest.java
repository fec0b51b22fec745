package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import org.junit.jupiter.api.Test;

/** Which words leave, and when. */
class DurabilityBarrierTest {
    private final DurabilityBarrier commit = new DurabilityBarrier(new SplittableRandom(3));
    private Duration now = Duration.ofSeconds(1);

    private static Replica.OutboundMessage word(String name) {
        return new Replica.OutboundMessage(
                name, new ReplicationMessage.ClaimQuery(1, name, new ClaimId("s", 1, 1)));
    }

    private List<DurabilityBarrier.PendingWrite> changed(
            List<String> tokens,
            boolean place,
            List<Replica.OutboundMessage> outs,
            List<Replica.OutboundMessage> said) {
        return commit.submit(tokens, place, outs, said);
    }

    @Test
    void aWordLeavesBehindItsChangesAndAllBeforeThem() {
        List<Replica.OutboundMessage> said = new ArrayList<>();
        List<DurabilityBarrier.PendingWrite> first =
                changed(List.of("x", "y"), false, List.of(word("a")), said);
        List<DurabilityBarrier.PendingWrite> none =
                changed(List.of(), false, List.of(word("b")), said);
        assertThat(none).isEmpty();
        assertThat(said).as("b might tell of x").isEmpty();
        assertThat(commit.acknowledge(first.get(0), true, now)).isEmpty();
        assertThat(commit.acknowledge(first.get(1), true, now))
                .containsExactly(word("a"), word("b"));
        changed(List.of(), false, List.of(word("c")), said);
        assertThat(said).as("nothing is under way").containsExactly(word("c"));
    }

    @Test
    void aPlaceIsWrittenBehindTheEntriesThatItSpeaksOf() {
        assertThat(changed(List.of("x"), true, List.of(), new ArrayList<>()))
                .extracting(DurabilityBarrier.PendingWrite::token)
                .containsExactly("x", null);
    }

    @Test
    void behindAFailureNothingIsSaidUntilAllIsWrittenAnew() {
        List<Replica.OutboundMessage> said = new ArrayList<>();
        List<DurabilityBarrier.PendingWrite> first =
                changed(List.of("x", "y"), false, List.of(word("a")), said);
        assertThat(commit.acknowledge(first.get(0), false, now)).isEmpty();
        assertThat(commit.isDegraded()).isTrue();
        assertThat(changed(List.of("z"), true, List.of(word("b")), said))
                .as("it waits for the next try")
                .isEmpty();
        assertThat(commit.acknowledge(first.get(1), true, now))
                .as("of before the failure")
                .isEmpty();
        now = now.plusSeconds(10);
        List<DurabilityBarrier.PendingWrite> again = commit.retryWrites(now);
        assertThat(again)
                .extracting(DurabilityBarrier.PendingWrite::token)
                .containsExactly("x", "y", "z", null);
        assertThat(commit.retryWrites(now.plusSeconds(10))).as("one try at a time").isEmpty();
        for (DurabilityBarrier.PendingWrite each : again) {
            assertThat(commit.isDegraded()).isTrue();
            assertThat(commit.acknowledge(each, true, now)).isEmpty();
        }
        assertThat(commit.isDegraded()).isFalse();
        assertThat(said).as("what was not said is lost, as on the way").isEmpty();
        assertThat(commit.droppedMessages()).isEqualTo(2);
        changed(List.of(), false, List.of(word("c")), said);
        assertThat(said).containsExactly(word("c"));
    }

    /**
     * A keeper on a disk that fails, stalls and loses what was not acknowledged: what it has said
     * it knows behind each end.
     */
    @Test
    void whatWasSaidIsOnTheDiskWhateverBecomesOfIt() {
        int words = 0;
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            ReplicaPlacement layout =
                    new ReplicaPlacement(2, List.of(new ReplicaServer("a", "")), List.of(), 1);
            Replica keeper =
                    new Replica(
                            "a",
                            new Replica.ReplicaSnapshot(layout, java.util.Map.of()),
                            layout,
                            1_000,
                            Duration.ofMinutes(1),
                            now);
            DurabilityBarrier of = new DurabilityBarrier(chance);
            Set<String> disk = new HashSet<>();
            List<DurabilityBarrier.PendingWrite> underWay = new ArrayList<>();
            Set<String> said = new HashSet<>();
            for (int step = 0; step < 200; step++) {
                now = now.plusMillis(40);
                keeper.receive(
                        "s",
                        new ReplicationMessage.ClaimRequest(
                                2,
                                "t" + chance.nextInt(80),
                                new ClaimId("s", 1, 1),
                                "b",
                                Duration.ofSeconds(50)),
                        now);
                List<Replica.OutboundMessage> say = new ArrayList<>();
                underWay.addAll(
                        of.submit(
                                keeper.takeChangedTokens(),
                                keeper.takeMetadataChanged(),
                                keeper.takeOutbound(),
                                say));
                underWay.addAll(of.retryWrites(now));
                for (int i = chance.nextInt(4); i > 0 && !underWay.isEmpty(); i--) {
                    DurabilityBarrier.PendingWrite write = underWay.remove(0);
                    boolean good = chance.nextInt(60) != 0;
                    if ((good || chance.nextBoolean()) && write.token() != null) {
                        disk.add(write.token());
                    }
                    say.addAll(of.acknowledge(write, good, now));
                }
                for (Replica.OutboundMessage out : say) {
                    ReplicationMessage.ClaimReply answer =
                            (ReplicationMessage.ClaimReply) out.message();
                    if (answer.vote() == ReplicationMessage.ClaimVote.GRANTED) {
                        said.add(answer.token());
                    }
                }
                assertThat(disk).as("seed " + seed).containsAll(said);
            }
            words += said.size();
        }
        assertThat(words).as("it says what it can").isGreaterThan(5_000);
    }
}
