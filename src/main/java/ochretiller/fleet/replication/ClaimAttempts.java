package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Decides whether keyed invocations may run: collects the replicas' replies to each attempt, and
 * decides once they suffice or the attempt times out. {@code docs/copies.md} has a table of the
 * decision for each combination of replies. Not thread-safe; the caller passes the time and random
 * numbers.
 */
final class ClaimAttempts {
    /** Interval after which unanswered requests are repeated. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(60);

    /** Time after which a claim without a quorum is abandoned: about a dozen round trips. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(400);

    /** Maximum number of invocations that await a decision. */
    private static final int MAX_ATTEMPTS = 10_000;

    private final CoordinatorState state;
    private final RandomGenerator random;
    private final ClaimDispatcher dispatcher;
    private final ClaimReleases releases;
    private final OutcomeReplication outcomes;
    private final ClaimConcurrencyLimit concurrency = new ClaimConcurrencyLimit();
    private final ChunkedReplays replays;
    private final Map<ClaimId, ClaimAttempt> attempts = new LinkedHashMap<>();

    ClaimAttempts(
            CoordinatorState state,
            RandomGenerator random,
            ClaimDispatcher dispatcher,
            ClaimReleases releases,
            OutcomeReplication outcomes) {
        this.state = state;
        this.random = random;
        this.dispatcher = dispatcher;
        this.releases = releases;
        this.outcomes = outcomes;
        this.replays = new ChunkedReplays(state);
    }

    int count() {
        return attempts.size();
    }

    double concurrencyLimit() {
        return concurrency.limit();
    }

    /**
     * Starts an attempt. {@code onDecision} is called once, possibly before this method returns.
     */
    void start(ClaimIntent intent, Duration now, Consumer<ClaimDecision> onDecision) {
        boolean quorumReachable = dispatcher.isQuorumReachable(intent.token());
        if (!quorumReachable) {
            dispatcher.probeUnresponsive(intent.token(), now);
        }
        // Throttle at once if no claim is possible now, without waiting for replicas.
        if (!quorumReachable || !concurrency.hasCapacity() || attempts.size() >= MAX_ATTEMPTS) {
            onDecision.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.THROTTLED));
            return;
        }
        concurrency.recordStart();
        dispatcher.depositRetries();
        ClaimAttempt attempt = new ClaimAttempt(intent, state.newClaimId(), onDecision, now);
        attempts.put(attempt.claimId(), attempt);
        dispatcher.startRound(attempt, now);
    }

    /** Restarts all attempts at the replicas of a new epoch. */
    void onEpochChange(Duration now) {
        for (ClaimAttempt attempt : List.copyOf(attempts.values())) {
            attempt.clearReplies();
            dispatcher.startRound(attempt, now);
        }
    }

    private void renew(ClaimAttempt attempt) {
        attempts.remove(attempt.claimId());
        attempt.renew(state.newClaimId());
        attempts.put(attempt.claimId(), attempt);
    }

    private void releaseIfClaiming(ClaimAttempt attempt, Duration now) {
        if (attempt.isClaiming()) {
            releases.release(attempt.token(), attempt.claimId(), attempt.intent().windowEnd(), now);
        }
    }

    /**
     * @param answeredInTime whether the replicas answered in time; adjusts the concurrency limit
     */
    private void decide(
            ClaimAttempt attempt,
            ClaimDecision.Kind kind,
            Optional<ClaimOutcome> outcome,
            boolean answeredInTime) {
        attempts.remove(attempt.claimId());
        if (attempt.isClaiming()) {
            concurrency.recordFinish(answeredInTime);
        }
        attempt.decide(kind, outcome);
    }

    private void timeOut(ClaimAttempt attempt, ClaimDecision.Kind kind, Duration now) {
        releaseIfClaiming(attempt, now);
        decide(attempt, kind, Optional.empty(), false);
    }

    /** Processes a replica's reply to a claim or query. */
    void onReply(String from, ReplicationMessage.ClaimReply reply, Duration now) {
        ClaimAttempt attempt = attempts.get(reply.claimId());
        if (attempt == null || !state.replicasOf(attempt.token()).contains(from)) {
            return;
        }
        boolean answersQuery = reply.vote() == ReplicationMessage.ClaimVote.UNCLAIMED;
        if (attempt.isClaiming() && answersQuery) {
            return;
        }
        if (attempt.addReply(from, reply)) {
            state.replicaLatency().record(from, attempt.timeSinceRequest(now));
        }
        evaluate(attempt, now);
    }

    /** Decides if the replies so far suffice; {@code docs/copies.md} has the table. */
    private void evaluate(ClaimAttempt attempt, Duration now) {
        ReplyTally tally = new ReplyTally(state.epoch());
        for (ReplicationMessage.ClaimReply reply : attempt.replies()) {
            if (isDecisive(attempt, reply)) {
                complete(attempt, reply.outcome().orElseThrow(), now);
                return;
            }
            tally.add(reply);
            recordCompetitor(attempt, reply);
        }
        if (replays.requestResult(attempt, now)) {
            return;
        }
        int quorum = state.quorumOf(attempt.token());
        if (tally.needsAnotherReplica(attempt.missingReplies(), quorum)) {
            dispatcher.contactNextReplica(attempt, now);
        }
        if (!attempt.isClaiming()) {
            if (tally.unclaimedCount() >= quorum) {
                claimAgain(attempt, now);
            }
        } else if (tally.grantCount() >= quorum) {
            startRun(attempt, now);
        } else if (tally.isQuorumImpossible(state.replicasOf(attempt.token()).size(), quorum)) {
            yieldToCompetitor(attempt, now);
        }
    }

    /** One reply with an outcome is enough, unless its result has to be downloaded first. */
    private static boolean isDecisive(ClaimAttempt attempt, ReplicationMessage.ClaimReply reply) {
        if (reply.vote() != ReplicationMessage.ClaimVote.COMPLETED) {
            return false;
        }
        ClaimOutcome outcome = reply.outcome().orElseThrow();
        return !outcome.isChunked()
                || !outcome.fingerprint().equals(attempt.intent().fingerprint());
    }

    private void recordCompetitor(ClaimAttempt attempt, ReplicationMessage.ClaimReply reply) {
        if (reply.vote() == ReplicationMessage.ClaimVote.COMPLETED) {
            attempt.recordCompetitor();
        } else if (reply.vote() == ReplicationMessage.ClaimVote.CLAIMED_BY_OTHER) {
            attempt.recordCompetitor();
            reply.otherClaim()
                    .filter(attempt::markOwnerQueried)
                    .ifPresent(
                            other ->
                                    state.outbox()
                                            .send(
                                                    other.server(),
                                                    new ReplicationMessage.OwnerQuery(
                                                            attempt.token(), other)));
        }
    }

    /** Processes a chunk of a completed claim's result. */
    void onChunk(ReplicationMessage.Chunk chunk, Duration now) {
        replays.accept(chunk).ifPresent(result -> onAssembled(result, now));
        replays.tick(now);
    }

    private void onAssembled(AssembledResult result, Duration now) {
        for (ClaimAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isAwaiting(result)) {
                complete(
                        attempt,
                        new ClaimOutcome(true, attempt.intent().fingerprint(), result.result()),
                        now);
            }
        }
    }

    private void complete(ClaimAttempt attempt, ClaimOutcome outcome, Duration now) {
        releaseIfClaiming(attempt, now);
        decide(attempt, attempt.decisionKindOf(outcome), Optional.of(outcome), true);
    }

    private void startRun(ClaimAttempt attempt, Duration now) {
        // Checked just before the run: a server that was paused must not run on an outdated grant.
        if (attempt.isPastDeadline(now)) {
            timeOut(attempt, ClaimDecision.Kind.THROTTLED, now);
            return;
        }
        outcomes.recordGrant(attempt.claimId(), attempt.token(), attempt.changeNumbers());
        decide(attempt, ClaimDecision.Kind.RUN, Optional.empty(), true);
    }

    /**
     * Releases the claim, which can no longer get a quorum, and polls for the competing claim's
     * outcome.
     */
    private void yieldToCompetitor(ClaimAttempt attempt, Duration now) {
        releaseIfClaiming(attempt, now);
        attempt.stopClaiming();
        concurrency.recordFinish(true);
        renew(attempt);
        attempt.scheduleQuery(random, now);
    }

    /** Claims again after a quorum has reported the token as unclaimed. */
    private void claimAgain(ClaimAttempt attempt, Duration now) {
        concurrency.recordStart();
        renew(attempt);
        attempt.startClaiming(now);
        dispatcher.startRound(attempt, now);
    }

    /** Repeats, hedges and times out requests. */
    void tick(Duration now) {
        for (ClaimAttempt attempt : List.copyOf(attempts.values())) {
            if (attempts.containsKey(attempt.claimId())) {
                tick(attempt, now);
            }
        }
        replays.tick(now);
    }

    private void tick(ClaimAttempt attempt, Duration now) {
        if (attempt.isPastDeadline(now)) {
            timeOut(attempt, attempt.decisionKindAtDeadline(), now);
        } else if (attempt.isClaiming()
                && attempt.claimingDuration(now).compareTo(CLAIM_TIMEOUT) >= 0) {
            onClaimTimeout(attempt, now);
        } else if (attempt.isClaiming()
                && attempt.timeSinceRequest(now).compareTo(RETRY_INTERVAL) >= 0) {
            attempt.clearLaggingReplies();
            dispatcher.retryUnanswered(attempt, now);
        } else if (!attempt.isClaiming() && attempt.isQueryDue(now)) {
            renew(attempt);
            attempt.scheduleQuery(random, now);
            dispatcher.startRound(attempt, now);
        } else {
            dispatcher.hedgeIfLate(attempt, now);
        }
    }

    /**
     * Two claims with half of the replicas each would block each other, so both yield and retry
     * after random pauses.
     */
    private void onClaimTimeout(ClaimAttempt attempt, Duration now) {
        if (attempt.hasCompetitor()) {
            yieldToCompetitor(attempt, now);
        } else {
            timeOut(attempt, ClaimDecision.Kind.THROTTLED, now);
        }
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState(Duration now) {
        StringBuilder text = new StringBuilder();
        attempts.values().forEach(attempt -> text.append('a').append(attempt.describeState(now)));
        return text.toString();
    }
}
