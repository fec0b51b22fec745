package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.EPOCH;
import static ochretiller.fleet.replication.ReplicationFixture.PLACEMENT;
import static ochretiller.fleet.replication.ReplicationFixture.WINDOW;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.replication.ReplicationMessage.ClaimVote;
import org.junit.jupiter.api.Test;

/** Checks how a replica votes on claims, and when its votes count. */
class ReplicaTest {
    private static final String TOKEN = "t";

    private final ClaimId first = new ClaimId("s", 1, 1);
    private final ClaimId second = new ClaimId("t", 1, 1);
    private final ClaimOutcome outcome = new ClaimOutcome(true, "body", "result");
    private final Duration now = Duration.ofSeconds(5);
    private final Replica replica = recovered("a", 3);
    private int exchanges;

    private Replica recovered(String name, int maxEntries) {
        ReplicaSnapshot snapshot = new ReplicaSnapshot(PLACEMENT, Map.of());
        return Replica.recover(name, snapshot, ReplicaLimits.ofEntries(maxEntries, WINDOW), now);
    }

    private ReplicationMessage.ClaimReply reply(Replica target, ReplicationMessage message) {
        target.receive("s", message, now);
        return (ReplicationMessage.ClaimReply) target.takeOutbound().get(0).message();
    }

    private ClaimVote claim(Replica target, ClaimId id, long epoch) {
        return reply(target, new ReplicationMessage.ClaimRequest(epoch, TOKEN, id, "body", WINDOW))
                .vote();
    }

    private ReplicationMessage.ClaimCompleted completed(
            long epoch, ClaimId id, ClaimOutcome result) {
        return new ReplicationMessage.ClaimCompleted(epoch, TOKEN, id, result, WINDOW, Map.of());
    }

    @Test
    void grantsTheFirstClaimAndRejectsOthersUntilItIsReleased() {
        assertThat(claim(replica, first, EPOCH)).isEqualTo(ClaimVote.GRANTED);
        assertThat(claim(replica, first, EPOCH))
                .as("a repeated request")
                .isEqualTo(ClaimVote.GRANTED);
        assertThat(claim(replica, second, EPOCH)).isEqualTo(ClaimVote.CLAIMED_BY_OTHER);
        replica.receive("s", new ReplicationMessage.ClaimRelease(TOKEN, first, WINDOW), now);
        assertThat(claim(replica, second, EPOCH)).isEqualTo(ClaimVote.GRANTED);
        assertThat(claim(replica, first, EPOCH))
                .as("a released claim is never granted again")
                .isEqualTo(ClaimVote.RELEASED);
    }

    @Test
    void releaseThatArrivesBeforeItsClaimIsStored() {
        replica.receive("s", new ReplicationMessage.ClaimRelease(TOKEN, first, WINDOW), now);
        assertThat(claim(replica, first, EPOCH)).isEqualTo(ClaimVote.RELEASED);
    }

    @Test
    void votesInTheCurrentEpochOnlyButReportsOutcomesInAny() {
        assertThat(claim(replica, first, EPOCH - 1)).isEqualTo(ClaimVote.STALE_EPOCH);
        assertThat(claim(replica, first, EPOCH + 1)).isEqualTo(ClaimVote.LAGGING);
        replica.receive("s", completed(EPOCH - 1, first, outcome), now);
        assertThat(replica.takeOutbound()).as("the outcome is stored but not confirmed").isEmpty();
        assertThat(claim(replica, second, EPOCH - 1))
                .as("an outcome holds in any epoch")
                .isEqualTo(ClaimVote.COMPLETED);
    }

    @Test
    void expiredEntryIsRemovedAndNotRestoredByALatePage() {
        claim(replica, first, EPOCH);
        replica.tick(now.plus(WINDOW));
        assertThat(replica.statistics().entries()).isZero();
        ReplicaEntry late = ReplicaEntry.EMPTY.withClaim(first, "body", now);
        ReplicationMessage.TransferredEntry item =
                new ReplicationMessage.TransferredEntry(TOKEN, late, Duration.ZERO);
        ReplicationMessage page =
                new ReplicationMessage.RangePage(
                        EPOCH,
                        ReplicaPlacement.rangeOf(TOKEN),
                        1,
                        List.of(item),
                        ReplicationMessage.RangeCursor.START,
                        true,
                        true,
                        true,
                        List.of(),
                        1,
                        0);
        replica.receive("b", page, now);
        assertThat(replica.statistics().entries()).isZero();
    }

    @Test
    void fullReplicaRejectsNewTokens() {
        for (int i = 0; i < 3; i++) {
            ClaimId id = new ClaimId("s", 1, 10 + i);
            replica.receive(
                    "s", new ReplicationMessage.ClaimRequest(EPOCH, "x" + i, id, "b", WINDOW), now);
        }
        replica.takeOutbound();
        assertThat(claim(replica, first, EPOCH)).isEqualTo(ClaimVote.OVER_CAPACITY);
    }

    @Test
    void replicaWithLostDiskLagsUntilItHasPulledFromAllOtherReplicas() {
        Replica diskless =
                Replica.withoutDisk("a", PLACEMENT, 0, ReplicaLimits.ofEntries(100, WINDOW), now);
        Replica b = recovered("b", 100);
        Replica c = recovered("c", 100);
        claim(b, first, EPOCH);
        assertThat(claim(diskless, second, EPOCH)).isEqualTo(ClaimVote.LAGGING);
        for (int i = 0; i < 200; i++) {
            exchange(diskless, Map.of("b", b));
        }
        assertThat(claim(diskless, second, EPOCH))
                .as("one of the two other replicas is not enough")
                .isEqualTo(ClaimVote.LAGGING);
        for (int i = 0; i < 200 && diskless.laggingRangeCount() > 0; i++) {
            exchange(diskless, Map.of("b", b, "c", c));
        }
        assertThat(diskless.laggingRangeCount()).isZero();
        assertThat(claim(diskless, second, EPOCH)).isEqualTo(ClaimVote.CLAIMED_BY_OTHER);
    }

    @Test
    void newReplicaFetchesItsRangesPageByPageBeforeItsVotesCount() {
        ReplicaPlacement next = PLACEMENT.with(new ReplicaServer("d", "4"));
        Replica b = recovered("b", 10_000);
        Replica c = recovered("c", 10_000);
        List<String> tokens = tokensOf("d", next);
        for (String token : tokens) {
            claim(b, token);
            claim(c, token);
        }
        Replica d =
                Replica.withoutDisk(
                        "d",
                        ReplicaPlacement.empty(3),
                        0,
                        ReplicaLimits.ofEntries(10_000, WINDOW),
                        now);
        d.adoptPlacement(PLACEMENT, now);
        d.adoptPlacement(next, now);
        assertThat(d.laggingRangeCount()).isPositive();
        for (int i = 0; i < 400 && d.laggingRangeCount() > 0; i++) {
            exchange(d, Map.of("b", b, "c", c));
        }
        assertThat(d.laggingRangeCount()).isZero();
        assertThat(b.placement().epoch())
                .as("a source adopts the epoch of the request")
                .isEqualTo(EPOCH + 1);
        for (String token : tokens) {
            assertThat(d.entry(token).claims()).hasSize(1);
        }
    }

    /** Returns 100 tokens that this server replicates. */
    private static List<String> tokensOf(String server, ReplicaPlacement placement) {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; tokens.size() < 100; i++) {
            String token = "t" + i;
            if (placement.replicasOf(ReplicaPlacement.rangeOf(token)).contains(server)) {
                tokens.add(token);
            }
        }
        return tokens;
    }

    private void claim(Replica target, String token) {
        ClaimId id = new ClaimId("s", 1, token.hashCode());
        target.receive(
                "s", new ReplicationMessage.ClaimRequest(EPOCH, token, id, "body", WINDOW), now);
        target.takeOutbound();
    }

    /**
     * Delivers the requester's requests, and the pages that answer them; servers not in {@code
     * others} are unreachable.
     */
    private void exchange(Replica requester, Map<String, Replica> others) {
        requester.tick(now.plusMillis(++exchanges * 20L));
        for (OutboundMessage request : requester.takeOutbound()) {
            Replica other = others.get(request.recipient());
            if (other == null) {
                continue;
            }
            other.receive("x", request.message(), now);
            for (OutboundMessage answer : other.takeOutbound()) {
                if (answer.message() instanceof ReplicationMessage.RangePage page) {
                    requester.receive(request.recipient(), page, now);
                }
            }
        }
    }

    @Test
    void conflictingOutcomesAreCountedAndTheFirstClaimsOutcomeIsReported() {
        replica.receive(
                "s", completed(EPOCH, second, new ClaimOutcome(true, "body", "second")), now);
        replica.receive("s", completed(EPOCH, first, outcome), now);
        replica.takeOutbound();
        assertThat(replica.statistics().conflicts()).isEqualTo(1);
        assertThat(
                        reply(replica, new ReplicationMessage.ClaimQuery(EPOCH, TOKEN, second))
                                .outcome())
                .contains(outcome);
    }

    @Test
    void windowReportedByAPeerIsCappedAtTheMaximum() {
        ReplicationMessage request =
                new ReplicationMessage.ClaimRequest(
                        EPOCH, TOKEN, first, "body", Duration.ofDays(900));
        replica.receive("x", request, now);
        assertThat(replica.entry(TOKEN).expiresAt()).isEqualTo(now.plus(WINDOW));
    }
}
