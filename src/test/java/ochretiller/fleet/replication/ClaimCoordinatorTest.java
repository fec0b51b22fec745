package ochretiller.fleet.replication;

import static ochretiller.fleet.replication.ReplicationFixture.EPOCH;
import static ochretiller.fleet.replication.ReplicationFixture.PLACEMENT;
import static ochretiller.fleet.replication.ReplicationFixture.WINDOW;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import ochretiller.fleet.replication.ReplicationMessage.ClaimVote;
import org.junit.jupiter.api.Test;

/** Checks a claiming server's decision for each combination of replies. */
class ClaimCoordinatorTest {
    private static final String TOKEN = "t";

    private final ClaimId competitor = new ClaimId("t", 1, 1);
    private final ClaimOutcome outcome = new ClaimOutcome(true, "body", "result");
    private final Duration now = Duration.ofSeconds(5);
    private final List<ClaimDecision> decisions = new ArrayList<>();
    private final ClaimCoordinator coordinator =
            new ClaimCoordinator("s", 1, PLACEMENT, new SplittableRandom(1));

    private void claim(Duration at) {
        ClaimIntent intent =
                new ClaimIntent(TOKEN, "body", false, at.plusSeconds(2), at.plus(WINDOW));
        coordinator.claim(intent, at, decisions::add);
    }

    private ClaimId startClaim() {
        coordinator.takeOutbound();
        claim(now);
        OutboundMessage request = coordinator.takeOutbound().get(0);
        return ((ReplicationMessage.ClaimRequest) request.message()).claimId();
    }

    private void reply(String replica, ClaimId id, ClaimVote vote) {
        reply(replica, EPOCH, id, vote, now);
    }

    private void reply(String replica, long epoch, ClaimId id, ClaimVote vote, Duration at) {
        coordinator.receive(
                replica,
                new ReplicationMessage.ClaimReply(
                        epoch, TOKEN, id, vote, Optional.empty(), Optional.empty(), 1),
                at);
    }

    private void replyClaimedByOther(String replica, ClaimId id) {
        coordinator.receive(
                replica,
                new ReplicationMessage.ClaimReply(
                        EPOCH,
                        TOKEN,
                        id,
                        ClaimVote.CLAIMED_BY_OTHER,
                        Optional.of(competitor),
                        Optional.empty(),
                        1),
                now);
    }

    private void replyCompleted(String replica, ClaimId id, ClaimOutcome reported) {
        coordinator.receive(
                replica,
                new ReplicationMessage.ClaimReply(
                        EPOCH,
                        TOKEN,
                        id,
                        ClaimVote.COMPLETED,
                        Optional.empty(),
                        Optional.of(reported),
                        1),
                now);
    }

    private void tickFor600Ms() {
        for (int ms = 0; ms < 600; ms += 20) {
            coordinator.tick(now.plusMillis(ms));
        }
    }

    private ClaimDecision.Kind onlyDecision() {
        assertThat(decisions).hasSize(1);
        return decisions.get(0).kind();
    }

    @Test
    void majorityOfGrantsAllowsTheRun() {
        ClaimId id = startClaim();
        reply("a", id, ClaimVote.GRANTED);
        assertThat(decisions).isEmpty();
        reply("a", id, ClaimVote.GRANTED);
        assertThat(decisions).as("each replica counts once").isEmpty();
        reply("c", id, ClaimVote.GRANTED);
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.RUN);
    }

    @Test
    void grantOfAnotherEpochDoesNotCount() {
        ClaimId id = startClaim();
        reply("a", EPOCH - 1, id, ClaimVote.GRANTED, now);
        reply("b", id, ClaimVote.GRANTED);
        assertThat(decisions).isEmpty();
    }

    @Test
    void oneOutcomeIsEnoughToReplayAndReleasesTheClaim() {
        ClaimId id = startClaim();
        replyCompleted("b", id, outcome);
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.REPLAY);
        assertThat(coordinator.takeOutbound())
                .as("the claim is released")
                .anyMatch(out -> out.message() instanceof ReplicationMessage.ClaimRelease);
    }

    @Test
    void fingerprintMismatchAndFailedRunAreDistinguished() {
        replyCompleted("b", startClaim(), new ClaimOutcome(true, "other", "result"));
        replyCompleted("b", startClaim(), new ClaimOutcome(false, "body", ""));
        assertThat(decisions)
                .extracting(ClaimDecision::kind)
                .containsExactly(
                        ClaimDecision.Kind.FINGERPRINT_MISMATCH,
                        ClaimDecision.Kind.COMPLETED_WITHOUT_RESULT);
    }

    @Test
    void claimWithoutAMajorityIsThrottledAndNeverRuns() {
        ClaimId id = startClaim();
        reply("a", id, ClaimVote.GRANTED);
        tickFor600Ms();
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.THROTTLED);
        reply("b", id, ClaimVote.GRANTED);
        assertThat(decisions).as("a late grant is ignored").hasSize(1);
        coordinator.takeOutbound();
        coordinator.receive("x", new ReplicationMessage.OwnerQuery(TOKEN, id), now);
        assertThat(coordinator.takeOutbound())
                .as("the owner repeats the release on request")
                .isNotEmpty()
                .allMatch(out -> out.message() instanceof ReplicationMessage.ClaimRelease);
    }

    @Test
    void unresponsiveReplicasAreProbedWithoutDelayingClaims() {
        startClaim();
        tickFor600Ms();
        decisions.clear();
        coordinator.takeOutbound();
        Duration later = now.plusSeconds(1);
        claim(later);
        claim(later);
        assertThat(decisions)
                .as("both are throttled at once")
                .extracting(ClaimDecision::kind)
                .containsExactly(ClaimDecision.Kind.THROTTLED, ClaimDecision.Kind.THROTTLED);
        assertThat(coordinator.takeOutbound())
                .as("one probe to each replica")
                .hasSize(3)
                .allMatch(out -> out.message() instanceof ReplicationMessage.ClaimQuery);
        ClaimId probe = new ClaimId("s", 1, 1);
        reply("a", EPOCH, probe, ClaimVote.UNCLAIMED, later);
        reply("b", EPOCH, probe, ClaimVote.UNCLAIMED, later);
        decisions.clear();
        claim(later);
        assertThat(decisions)
                .as("two of three replicas respond, so the token is claimed")
                .isEmpty();
    }

    @Test
    void pausedServerDoesNotRunOnAnOutdatedGrant() {
        ClaimId id = startClaim();
        reply("a", id, ClaimVote.GRANTED);
        reply("b", EPOCH, id, ClaimVote.GRANTED, now.plusSeconds(60));
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.THROTTLED);
    }

    @Test
    void claimBlockedByACompetitorYieldsAndQueriesTheOutcome() {
        ClaimId id = startClaim();
        replyClaimedByOther("a", id);
        replyClaimedByOther("b", id);
        assertThat(decisions).isEmpty();
        assertThat(coordinator.takeOutbound())
                .extracting(out -> out.message().getClass().getSimpleName())
                .contains("ClaimRelease", "OwnerQuery");
        coordinator.tick(now.plusMillis(100));
        ReplicationMessage.ClaimQuery query =
                coordinator.takeOutbound().stream()
                        .map(OutboundMessage::message)
                        .filter(ReplicationMessage.ClaimQuery.class::isInstance)
                        .map(ReplicationMessage.ClaimQuery.class::cast)
                        .findFirst()
                        .orElseThrow();
        replyCompleted("c", query.claimId(), outcome);
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.REPLAY);
    }

    @Test
    void unknownOutcomeIsReportedAtTheDeadline() {
        ClaimId id = startClaim();
        replyClaimedByOther("a", id);
        replyClaimedByOther("b", id);
        coordinator.tick(now.plusSeconds(2));
        assertThat(onlyDecision()).isEqualTo(ClaimDecision.Kind.OUTCOME_UNKNOWN);
    }

    @Test
    void answerWaitsForAWriteQuorumUntilTheReplyDeadline() {
        List<Boolean> stored = new ArrayList<>();
        ClaimId id = runClaim();
        coordinator.reportOutcome(completed(id), now, stored::add);
        coordinator.receive("a", new ReplicationMessage.OutcomeStored(EPOCH, TOKEN, id, 1), now);
        assertThat(stored).isEmpty();
        coordinator.receive("c", new ReplicationMessage.OutcomeStored(EPOCH, TOKEN, id, 1), now);
        assertThat(stored).containsExactly(true);
        coordinator.reportOutcome(completed(runClaim()), now, stored::add);
        coordinator.tick(now.plusSeconds(2));
        assertThat(stored)
                .as("reported as not stored at the deadline")
                .containsExactly(true, false);
    }

    private ClaimId runClaim() {
        ClaimId id = startClaim();
        reply("a", id, ClaimVote.GRANTED);
        reply("b", id, ClaimVote.GRANTED);
        return id;
    }

    private CompletedClaim completed(ClaimId id) {
        return new CompletedClaim(
                id, outcome, Optional.empty(), now.plusSeconds(2), now.plus(WINDOW));
    }
}
