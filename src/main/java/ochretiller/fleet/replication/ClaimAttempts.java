package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Brings keyed invocations to a decision: gathers the replicas' replies to each attempt, and
 * decides once they suffice or its time is over. {@code docs/copies.md} has the table of what each
 * mix of replies allows. Not thread-safe; time and random numbers are handed in.
 */
final class ClaimAttempts {
    /** A request whose reply is missing is repeated after this. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(60);

    /** A claim without a quorum by then is given up: some dozen round trips. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(400);

    /** Invocations that wait for a decision at most. */
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
     * Starts an attempt; {@code onDecision} is handed the one decision, perhaps before this
     * returns.
     */
    void start(ClaimIntent intent, Duration now, Consumer<ClaimDecision> onDecision) {
        boolean quorumReachable = dispatcher.isQuorumReachable(intent.token());
        if (!quorumReachable) {
            dispatcher.probeUnresponsive(intent.token(), now);
        }
        // What cannot be claimed is throttled at once, and waits for nobody.
        if (!quorumReachable || !concurrency.hasCapacity() || attempts.size() >= MAX_ATTEMPTS) {
            onDecision.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.THROTTLED));
            return;
        }
        concurrency.started();
        dispatcher.earnRetries();
        ClaimAttempt attempt = new ClaimAttempt(intent, state.newClaimId(), onDecision, now);
        attempts.put(attempt.claimId(), attempt);
        dispatcher.startRound(attempt, now);
    }

    /** Asks the replicas of a new epoch anew. */
    void onEpochChange(Duration now) {
        for (ClaimAttempt attempt : List.copyOf(attempts.values())) {
            attempt.forgetReplies();
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
     * @param timely whether the replicas answered in time, which the concurrency limit follows
     */
    private void decide(
            ClaimAttempt attempt,
            ClaimDecision.Kind kind,
            Optional<ClaimOutcome> outcome,
            boolean timely) {
        attempts.remove(attempt.claimId());
        if (attempt.isClaiming()) {
            concurrency.finished(timely);
        }
        attempt.decide(kind, outcome);
    }

    private void timeOut(ClaimAttempt attempt, ClaimDecision.Kind kind, Duration now) {
        releaseIfClaiming(attempt, now);
        decide(attempt, kind, Optional.empty(), false);
    }

    /** Takes a replica's reply. */
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
            state.latency().record(from, attempt.sinceRequest(now));
        }
        evaluate(attempt, now);
    }

    /** Decides what the replies so far allow; {@code docs/replication.md} has the table. */
    private void evaluate(ClaimAttempt attempt, Duration now) {
        ReplyTally tally = new ReplyTally(state.epoch());
        for (ReplicationMessage.ClaimReply reply : attempt.replies()) {
            if (isDecisive(attempt, reply)) {
                complete(attempt, reply.outcome().orElseThrow(), now);
                return;
            }
            tally.add(reply);
            noteCompetitor(attempt, reply);
        }
        if (replays.requestResult(attempt, now)) {
            return;
        }
        int quorum = state.quorumOf(attempt.token());
        if (tally.needsAnotherReplica(attempt.missingReplies(), quorum)) {
            dispatcher.askOneMore(attempt, now);
        }
        if (!attempt.isClaiming()) {
            if (tally.unclaimed() >= quorum) {
                claimAgain(attempt, now);
            }
        } else if (tally.granted() >= quorum) {
            run(attempt, now);
        } else if (tally.excludesQuorum(state.replicasOf(attempt.token()).size(), quorum)) {
            giveWay(attempt, now);
        }
    }

    /** One completed reply is enough, unless its result has to be transferred first. */
    private static boolean isDecisive(ClaimAttempt attempt, ReplicationMessage.ClaimReply reply) {
        if (reply.vote() != ReplicationMessage.ClaimVote.COMPLETED) {
            return false;
        }
        ClaimOutcome outcome = reply.outcome().orElseThrow();
        return !outcome.isChunked()
                || !outcome.fingerprint().equals(attempt.intent().fingerprint());
    }

    private void noteCompetitor(ClaimAttempt attempt, ReplicationMessage.ClaimReply reply) {
        if (reply.vote() == ReplicationMessage.ClaimVote.COMPLETED) {
            attempt.noteCompetitor();
        } else if (reply.vote() == ReplicationMessage.ClaimVote.HELD) {
            attempt.noteCompetitor();
            reply.otherClaim()
                    .filter(attempt::shouldQueryOwner)
                    .ifPresent(
                            other ->
                                    state.outbox()
                                            .send(
                                                    other.server(),
                                                    new ReplicationMessage.OwnerQuery(
                                                            attempt.token(), other)));
        }
    }

    /** Takes a chunk of the result of a completed claim. */
    void onChunk(ReplicationMessage.Chunk chunk, Duration now) {
        replays.accept(chunk).ifPresent(result -> onAssembled(result, now));
        replays.tick(now);
    }

    private void onAssembled(AssembledResult result, Duration now) {
        for (ClaimAttempt attempt : List.copyOf(attempts.values())) {
            if (attempt.awaits(result)) {
                complete(
                        attempt,
                        new ClaimOutcome(true, attempt.intent().fingerprint(), result.result()),
                        now);
            }
        }
    }

    private void complete(ClaimAttempt attempt, ClaimOutcome outcome, Duration now) {
        releaseIfClaiming(attempt, now);
        decide(attempt, attempt.kindOf(outcome), Optional.of(outcome), true);
    }

    private void run(ClaimAttempt attempt, Duration now) {
        // Checked last: a server that was paused must not act on a grant that is too old.
        if (attempt.isPastDeadline(now)) {
            timeOut(attempt, ClaimDecision.Kind.THROTTLED, now);
            return;
        }
        outcomes.recordGrant(attempt.claimId(), attempt.token(), attempt.changeNumbers());
        decide(attempt, ClaimDecision.Kind.RUN, Optional.empty(), true);
    }

    /**
     * Takes the claim back, since it can get no quorum now, and waits for the other claim's
     * outcome.
     */
    private void giveWay(ClaimAttempt attempt, Duration now) {
        releaseIfClaiming(attempt, now);
        attempt.stopClaiming();
        concurrency.finished(true);
        renew(attempt);
        attempt.scheduleQuery(random, now);
    }

    /** Claims again: whoever held the token has released it, as a quorum says. */
    private void claimAgain(ClaimAttempt attempt, Duration now) {
        concurrency.started();
        renew(attempt);
        attempt.startClaiming(now);
        dispatcher.startRound(attempt, now);
    }

    /** Repeats, hedges and gives up requests. */
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
            timeOut(attempt, attempt.kindAtDeadline(), now);
        } else if (attempt.isClaiming() && attempt.claimingFor(now).compareTo(CLAIM_TIMEOUT) >= 0) {
            giveUpClaim(attempt, now);
        } else if (attempt.isClaiming()
                && attempt.sinceRequest(now).compareTo(RETRY_INTERVAL) >= 0) {
            attempt.forgetLaggingReplies();
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
     * Two claims with half of the replicas each would wait for each other: both give way and come
     * back by chance.
     */
    private void giveUpClaim(ClaimAttempt attempt, Duration now) {
        if (attempt.isCompetitorSeen()) {
            giveWay(attempt, now);
        } else {
            timeOut(attempt, ClaimDecision.Kind.THROTTLED, now);
        }
    }

    /** Returns what decides the next steps, as text. */
    String describeState(Duration now) {
        StringBuilder text = new StringBuilder();
        attempts.values().forEach(attempt -> text.append('a').append(attempt.describeState(now)));
        return text.toString();
    }
}
