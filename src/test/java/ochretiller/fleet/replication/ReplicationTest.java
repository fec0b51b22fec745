package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import org.junit.jupiter.api.Test;

/** What a keeper answers, what a server makes of it, how copies become one. */
class ReplicationTest {
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final List<ReplicaServer> THREE =
            List.of(
                    new ReplicaServer("a", "1"),
                    new ReplicaServer("b", "2"),
                    new ReplicaServer("c", "3"));
    private static final ReplicaPlacement LAYOUT = new ReplicaPlacement(3, THREE, THREE, 3);
    private final ClaimId one = new ClaimId("s", 1, 1);
    private final ClaimId two = new ClaimId("t", 1, 1);
    private final ClaimOutcome good = new ClaimOutcome(true, "body", "result");
    private final Duration now = Duration.ofSeconds(5);
    private final Replica keeper =
            new Replica("a", new Replica.ReplicaSnapshot(LAYOUT, Map.of()), LAYOUT, 3, WINDOW, now);

    private ReplicationMessage.ClaimReply answer(Replica of, ReplicationMessage message) {
        of.receive("s", message, now);
        return (ReplicationMessage.ClaimReply) of.takeOutbound().get(0).message();
    }

    private ReplicationMessage.ClaimVote claim(Replica of, ClaimId id, long epoch) {
        return answer(of, new ReplicationMessage.ClaimRequest(epoch, "t", id, "body", WINDOW))
                .vote();
    }

    @Test
    void theFirstClaimIsGrantedAndHeldAgainstOthers() {
        assertThat(claim(keeper, one, 3)).isEqualTo(ReplicationMessage.ClaimVote.GRANTED);
        assertThat(claim(keeper, one, 3))
                .as("said twice")
                .isEqualTo(ReplicationMessage.ClaimVote.GRANTED);
        assertThat(claim(keeper, two, 3)).isEqualTo(ReplicationMessage.ClaimVote.HELD);
        keeper.receive("s", new ReplicationMessage.ClaimRelease("t", one, WINDOW), now);
        assertThat(claim(keeper, two, 3)).isEqualTo(ReplicationMessage.ClaimVote.GRANTED);
        assertThat(claim(keeper, one, 3))
                .as("never again")
                .isEqualTo(ReplicationMessage.ClaimVote.RELEASED);
    }

    @Test
    void aReleaseThatOvertakesItsClaimHolds() {
        keeper.receive("s", new ReplicationMessage.ClaimRelease("t", one, WINDOW), now);
        assertThat(claim(keeper, one, 3)).isEqualTo(ReplicationMessage.ClaimVote.RELEASED);
    }

    @Test
    void onlyThePresentEpochIsAnsweredFor() {
        assertThat(claim(keeper, one, 2)).isEqualTo(ReplicationMessage.ClaimVote.STALE_EPOCH);
        assertThat(claim(keeper, one, 4)).isEqualTo(ReplicationMessage.ClaimVote.LAGGING);
        keeper.receive(
                "s",
                new ReplicationMessage.ClaimCompleted(2, "t", one, good, WINDOW, Map.of()),
                now);
        assertThat(keeper.takeOutbound()).as("kept, and not counted").isEmpty();
        assertThat(claim(keeper, two, 2))
                .as("an end is true in any epoch")
                .isEqualTo(ReplicationMessage.ClaimVote.COMPLETED);
    }

    @Test
    void whatIsPastItsWindowIsForgottenAndStaysSo() {
        claim(keeper, one, 3);
        keeper.tick(now.plus(WINDOW));
        assertThat(keeper.entryCount()).isZero();
        ReplicaEntry late = ReplicaEntry.EMPTY.withClaim(one, "body", now);
        keeper.receive(
                "b",
                new ReplicationMessage.RangePage(
                        3,
                        ReplicaPlacement.rangeOf("t"),
                        1,
                        List.of(new ReplicationMessage.TransferredEntry("t", late, Duration.ZERO)),
                        ReplicationMessage.RangeCursor.START,
                        true,
                        true,
                        true,
                        List.of(),
                        1,
                        0),
                now);
        assertThat(keeper.entryCount()).isZero();
    }

    @Test
    void aFullKeeperSaysSo() {
        for (int i = 0; i < 3; i++) {
            keeper.receive(
                    "s",
                    new ReplicationMessage.ClaimRequest(
                            3, "x" + i, new ClaimId("s", 1, 10 + i), "b", WINDOW),
                    now);
        }
        keeper.takeOutbound();
        assertThat(claim(keeper, one, 3)).isEqualTo(ReplicationMessage.ClaimVote.OVER_CAPACITY);
    }

    @Test
    void aKeeperWithoutItsDiskDoesNotCountUntilTheOthersHaveToldIt() {
        Replica blank = new Replica("a", null, LAYOUT, 100, WINDOW, now);
        Replica b =
                new Replica(
                        "b",
                        new Replica.ReplicaSnapshot(LAYOUT, Map.of()),
                        LAYOUT,
                        100,
                        WINDOW,
                        now);
        Replica c =
                new Replica(
                        "c",
                        new Replica.ReplicaSnapshot(LAYOUT, Map.of()),
                        LAYOUT,
                        100,
                        WINDOW,
                        now);
        claim(b, one, 3);
        assertThat(claim(blank, two, 3)).isEqualTo(ReplicationMessage.ClaimVote.LAGGING);
        for (int i = 0; i < 200; i++) {
            exchange(blank, Map.of("b", b));
        }
        assertThat(claim(blank, two, 3))
                .as("one of two others is not enough")
                .isEqualTo(ReplicationMessage.ClaimVote.LAGGING);
        for (int i = 0; i < 200 && blank.laggingRangeCount() > 0; i++) {
            exchange(blank, Map.of("b", b, "c", c));
        }
        assertThat(blank.laggingRangeCount()).isZero();
        assertThat(claim(blank, two, 3)).isEqualTo(ReplicationMessage.ClaimVote.HELD);
    }

    @Test
    void aRangeIsFetchedPageByPageBeforeANewKeeperCounts() {
        ReplicaPlacement next = LAYOUT.with(new ReplicaServer("d", "4"));
        Replica b =
                new Replica(
                        "b",
                        new Replica.ReplicaSnapshot(LAYOUT, Map.of()),
                        LAYOUT,
                        10_000,
                        WINDOW,
                        now);
        Replica c =
                new Replica(
                        "c",
                        new Replica.ReplicaSnapshot(LAYOUT, Map.of()),
                        LAYOUT,
                        10_000,
                        WINDOW,
                        now);
        List<String> tokens = new ArrayList<>();
        for (int i = 0; tokens.size() < 100; i++) {
            String token = "t" + i;
            if (!next.replicasOf(ReplicaPlacement.rangeOf(token)).contains("d")) {
                continue;
            }
            tokens.add(token);
            for (Replica each : List.of(b, c)) {
                each.receive(
                        "s",
                        new ReplicationMessage.ClaimRequest(
                                3, token, new ClaimId("s", 1, i), "body", WINDOW),
                        now);
            }
        }
        b.takeOutbound();
        c.takeOutbound();
        Replica d = new Replica("d", null, ReplicaPlacement.empty(3), 10_000, WINDOW, now);
        d.adoptPlacement(new ReplicaPlacement(3, THREE, THREE, 3), now);
        d.adoptPlacement(next, now);
        assertThat(d.laggingRangeCount()).isPositive();
        for (int i = 0; i < 400 && d.laggingRangeCount() > 0; i++) {
            exchange(d, Map.of("b", b, "c", c));
        }
        assertThat(d.laggingRangeCount()).isZero();
        assertThat(b.placement().epoch())
                .as("who is asked answers for no older epoch")
                .isEqualTo(4);
        for (String token : tokens) {
            assertThat(d.entry(token).claims()).hasSize(1);
        }
    }

    /** What one asks of others, and their answers; who is not there says nothing. */
    private void exchange(Replica asker, Map<String, Replica> others) {
        asker.tick(now.plusMillis(++looks * 20L));
        for (Replica.OutboundMessage out : asker.takeOutbound()) {
            Replica other = others.get(out.recipient());
            if (other == null) {
                continue;
            }
            other.receive("x", out.message(), now);
            for (Replica.OutboundMessage back : other.takeOutbound()) {
                if (back.message() instanceof ReplicationMessage.RangePage page) {
                    asker.receive(out.recipient(), page, now);
                }
            }
        }
    }

    private int looks;

    @Test
    void joinsAreTheSameInAnyOrderAndAnyNumberOfTimes() {
        SplittableRandom chance = new SplittableRandom(4);
        for (int i = 0; i < 2_000; i++) {
            List<ReplicaEntry> entries = new ArrayList<>();
            for (int n = 0; n < 3; n++) {
                entries.add(drawn(chance));
            }
            ReplicaEntry a = entries.get(0);
            ReplicaEntry b = entries.get(1);
            ReplicaEntry c = entries.get(2);
            assertThat(a.merge(b).merge(c))
                    .isEqualTo(c.merge(a).merge(b))
                    .isEqualTo(a.merge(b.merge(c)));
            assertThat(a.merge(b).merge(b).merge(a)).isEqualTo(a.merge(b));
            assertThat(a.merge(b).expiresAt()).isGreaterThanOrEqualTo(a.expiresAt());
        }
    }

    private ReplicaEntry drawn(SplittableRandom chance) {
        ReplicaEntry entry = ReplicaEntry.EMPTY;
        for (int i = 0; i < chance.nextInt(4); i++) {
            ClaimId id = new ClaimId("s" + chance.nextInt(3), 1, 1);
            Duration until = Duration.ofSeconds(chance.nextInt(9));
            entry =
                    switch (chance.nextInt(3)) {
                        case 0 -> entry.withClaim(id, "body " + id, until);
                        case 1 -> entry.withRelease(id, until);
                        default ->
                                entry.withOutcome(
                                        id,
                                        new ClaimOutcome(true, "body " + id, "result " + id),
                                        until);
                    };
        }
        return entry;
    }

    @Test
    void twoEndsOfOneTokenAreKeptCountedAndAnsweredInOneWay() {
        keeper.receive(
                "s",
                new ReplicationMessage.ClaimCompleted(
                        3, "t", two, new ClaimOutcome(true, "body", "second"), WINDOW, Map.of()),
                now);
        keeper.receive(
                "s",
                new ReplicationMessage.ClaimCompleted(3, "t", one, good, WINDOW, Map.of()),
                now);
        keeper.takeOutbound();
        assertThat(keeper.conflictCount()).isEqualTo(1);
        assertThat(answer(keeper, new ReplicationMessage.ClaimQuery(3, "t", two)).outcome())
                .contains(good);
    }

    // ---- the server's side

    private final List<ClaimDecision> verdicts = new ArrayList<>();
    private final ClaimCoordinator claims =
            new ClaimCoordinator("s", 1, LAYOUT, new SplittableRandom(1));

    private ClaimId begin() {
        claims.takeOutbound();
        claims.claim("t", "body", false, now.plusSeconds(2), now.plus(WINDOW), now, verdicts::add);
        return ((ReplicationMessage.ClaimRequest) claims.takeOutbound().get(0).message()).claimId();
    }

    private void says(
            String keeperName,
            ClaimId id,
            ReplicationMessage.ClaimVote word,
            Optional<ClaimId> other,
            Optional<ClaimOutcome> outcome) {
        claims.receive(
                keeperName,
                new ReplicationMessage.ClaimReply(3, "t", id, word, other, outcome, 1),
                now);
    }

    private ClaimDecision.Kind only() {
        assertThat(verdicts).hasSize(1);
        return verdicts.get(0).kind();
    }

    @Test
    void aMajorityOfGrantsRuns() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).isEmpty();
        says("a", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).as("one keeper counts once").isEmpty();
        says("c", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        assertThat(only()).isEqualTo(ClaimDecision.Kind.RUN);
    }

    @Test
    void aGrantOfAnotherEpochCountsForNothing() {
        ClaimId id = begin();
        claims.receive(
                "a",
                new ReplicationMessage.ClaimReply(
                        2,
                        "t",
                        id,
                        ReplicationMessage.ClaimVote.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                now);
        says("b", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).isEmpty();
    }

    @Test
    void oneEndIsEnoughToReplay() {
        ClaimId id = begin();
        says("b", id, ReplicationMessage.ClaimVote.COMPLETED, Optional.empty(), Optional.of(good));
        assertThat(only()).isEqualTo(ClaimDecision.Kind.REPLAY);
        assertThat(claims.takeOutbound())
                .as("what it claimed elsewhere is let go")
                .anyMatch(out -> out.message() instanceof ReplicationMessage.ClaimRelease);
    }

    @Test
    void anotherBodyAndAFailedRunAreToldApart() {
        says(
                "b",
                begin(),
                ReplicationMessage.ClaimVote.COMPLETED,
                Optional.empty(),
                Optional.of(new ClaimOutcome(true, "other", "result")));
        says(
                "b",
                begin(),
                ReplicationMessage.ClaimVote.COMPLETED,
                Optional.empty(),
                Optional.of(new ClaimOutcome(false, "body", "")));
        assertThat(verdicts)
                .extracting(ClaimDecision::kind)
                .containsExactly(
                        ClaimDecision.Kind.FINGERPRINT_MISMATCH,
                        ClaimDecision.Kind.COMPLETED_WITHOUT_RESULT);
    }

    @Test
    void silenceIsThrottledAndTheClaimNeverRuns() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        for (int ms = 0; ms < 600; ms += 20) {
            claims.tick(now.plusMillis(ms));
        }
        assertThat(only()).isEqualTo(ClaimDecision.Kind.THROTTLED);
        says("b", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        assertThat(verdicts).as("a grant that comes late").hasSize(1);
        claims.takeOutbound();
        claims.receive("x", new ReplicationMessage.OwnerQuery("t", id), now);
        assertThat(claims.takeOutbound())
                .as("asked, it says so again")
                .isNotEmpty()
                .allMatch(out -> out.message() instanceof ReplicationMessage.ClaimRelease);
    }

    @Test
    void keepersThatAreKnownToBeSilentAreNotWaitedFor() {
        begin();
        for (int ms = 0; ms < 600; ms += 20) {
            claims.tick(now.plusMillis(ms));
        }
        verdicts.clear();
        claims.takeOutbound();
        Duration later = now.plusSeconds(1);
        for (int i = 0; i < 2; i++) {
            claims.claim(
                    "t",
                    "body",
                    false,
                    later.plusSeconds(2),
                    later.plus(WINDOW),
                    later,
                    verdicts::add);
        }
        assertThat(verdicts)
                .as("both are throttled at once")
                .extracting(ClaimDecision::kind)
                .containsExactly(ClaimDecision.Kind.THROTTLED, ClaimDecision.Kind.THROTTLED);
        assertThat(claims.takeOutbound())
                .as("one question to each goes out to see")
                .hasSize(3)
                .allMatch(out -> out.message() instanceof ReplicationMessage.ClaimQuery);
        claims.receive(
                "a",
                new ReplicationMessage.ClaimReply(
                        3,
                        "t",
                        one,
                        ReplicationMessage.ClaimVote.UNCLAIMED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                later);
        claims.receive(
                "b",
                new ReplicationMessage.ClaimReply(
                        3,
                        "t",
                        one,
                        ReplicationMessage.ClaimVote.UNCLAIMED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                later);
        verdicts.clear();
        claims.claim(
                "t", "body", false, later.plusSeconds(2), later.plus(WINDOW), later, verdicts::add);
        assertThat(verdicts).as("two of three are back: it is claimed").isEmpty();
    }

    @Test
    void aServerThatSleptRunsNothingOld() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        claims.receive(
                "b",
                new ReplicationMessage.ClaimReply(
                        3,
                        "t",
                        id,
                        ReplicationMessage.ClaimVote.GRANTED,
                        Optional.empty(),
                        Optional.empty(),
                        1),
                now.plusSeconds(60));
        assertThat(only()).isEqualTo(ClaimDecision.Kind.THROTTLED);
    }

    @Test
    void aServerStopsClaimingOnceNobodyMayHaveClaimedForGood() {
        ClaimModes modes =
                new ClaimModes(
                        new ClaimModes.ClaimModeSettings(
                                ClaimModes.ClaimMode.SERVER,
                                Map.of("order", ClaimModes.ClaimMode.FLEET)),
                        WINDOW,
                        now);
        assertThat(modes.requirementFor("order", now))
                .isEqualTo(ClaimModes.ClaimRequirement.REQUIRED);
        assertThat(modes.requirementFor("other", now))
                .isEqualTo(ClaimModes.ClaimRequirement.REQUIRED_TRANSITIONALLY);
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .isEqualTo(ClaimModes.ClaimRequirement.NOT_REQUIRED);
        modes.claimObserved("order", false, now.plusSeconds(15));
        modes.claimObserved("other", true, now.plusSeconds(15));
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .as("an operation that stays the fleet's, a server that stops too")
                .isEqualTo(ClaimModes.ClaimRequirement.NOT_REQUIRED);
        modes.claimObserved("other", false, now.plusSeconds(15));
        assertThat(modes.requirementFor("other", now.plus(WINDOW)))
                .as("another server still claims")
                .isEqualTo(ClaimModes.ClaimRequirement.REQUIRED_TRANSITIONALLY);
        assertThat(modes.requirementFor("other", now.plusSeconds(15).plus(WINDOW)))
                .isEqualTo(ClaimModes.ClaimRequirement.NOT_REQUIRED);
    }

    @Test
    void whoIsHeldOffMakesWayAndLooksForTheEnd() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.HELD, Optional.of(two), Optional.empty());
        says("b", id, ReplicationMessage.ClaimVote.HELD, Optional.of(two), Optional.empty());
        assertThat(verdicts).isEmpty();
        assertThat(claims.takeOutbound())
                .extracting(out -> out.message().getClass().getSimpleName())
                .contains("ClaimRelease", "OwnerQuery");
        claims.tick(now.plusMillis(100));
        ReplicationMessage.ClaimQuery look =
                claims.takeOutbound().stream()
                        .map(Replica.OutboundMessage::message)
                        .filter(ReplicationMessage.ClaimQuery.class::isInstance)
                        .map(ReplicationMessage.ClaimQuery.class::cast)
                        .findFirst()
                        .orElseThrow();
        says(
                "c",
                look.claimId(),
                ReplicationMessage.ClaimVote.COMPLETED,
                Optional.empty(),
                Optional.of(good));
        assertThat(only()).isEqualTo(ClaimDecision.Kind.REPLAY);
    }

    @Test
    void anUnknownEndIsErroredByItsDueTime() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.HELD, Optional.of(two), Optional.empty());
        says("b", id, ReplicationMessage.ClaimVote.HELD, Optional.of(two), Optional.empty());
        claims.tick(now.plusSeconds(2));
        assertThat(only()).isEqualTo(ClaimDecision.Kind.OUTCOME_UNKNOWN);
    }

    @Test
    void anAnswerWaitsForAMajorityThatKeepsItsEnd() {
        ClaimId id = begin();
        says("a", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        says("b", id, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        List<Boolean> kept = new ArrayList<>();
        claims.reportOutcome(id, good, null, now.plusSeconds(2), now.plus(WINDOW), now, kept::add);
        claims.receive("a", new ReplicationMessage.OutcomeStored(3, "t", id, 1), now);
        assertThat(kept).isEmpty();
        claims.receive("c", new ReplicationMessage.OutcomeStored(3, "t", id, 1), now);
        assertThat(kept).containsExactly(true);
        ClaimId other = begin();
        says("a", other, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        says("b", other, ReplicationMessage.ClaimVote.GRANTED, Optional.empty(), Optional.empty());
        claims.reportOutcome(
                other, good, null, now.plusSeconds(2), now.plus(WINDOW), now, kept::add);
        claims.tick(now.plusSeconds(2));
        assertThat(kept).as("by its due time, whatever is known").containsExactly(true, false);
    }
}
