package ochretiller.fleet.replication;

import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.List;

/**
 * Sends the requests of claim attempts: at first to as many replicas as a quorum takes, the
 * fastest; to one more where a reply is late (a hedged request) or is no grant; and to all again
 * where replies are missing. Hedged and repeated requests draw on a budget that grows with the
 * claims. Not thread-safe; time is handed in.
 */
final class ClaimDispatcher {
    /** Unresponsive replicas are probed at this interval while they leave no quorum. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);

    private final CoordinatorState state;
    private final RetryBudget budget = new RetryBudget();
    private long hedgedRequests;
    private long retriedRequests;
    private Duration lastProbe = Duration.ZERO;

    ClaimDispatcher(CoordinatorState state) {
        this.state = state;
    }

    /** Returns the requests that were sent to one more replica since another was late. */
    long hedgedRequests() {
        return hedgedRequests;
    }

    /** Returns the requests that were repeated. */
    long retriedRequests() {
        return retriedRequests;
    }

    void earnRetries() {
        budget.earnForClaim();
    }

    /** Returns whether enough replicas of a token are responsive for a quorum. */
    boolean isQuorumReachable(String token) {
        List<String> replicas = state.replicasOf(token);
        long responsive =
                replicas.stream()
                        .filter(replica -> !state.unresponsive().isUnresponsive(replica))
                        .count();
        return !replicas.isEmpty() && responsive >= state.quorumOf(token);
    }

    /**
     * Asks unresponsive replicas, at intervals and apart from any invocation, whether they are
     * back.
     */
    void probeUnresponsive(String token, Duration now) {
        if (now.minus(lastProbe).compareTo(PROBE_INTERVAL) < 0) {
            return;
        }
        lastProbe = now;
        ClaimId probe = state.newClaimId();
        for (String replica : state.replicasOf(token)) {
            if (state.unresponsive().isUnresponsive(replica)) {
                state.outbox()
                        .send(
                                replica,
                                new ReplicationMessage.ClaimQuery(state.epoch(), token, probe));
            }
        }
    }

    /** Starts a round: asks the fastest replicas, as many as a quorum takes. */
    void startRound(ClaimAttempt attempt, Duration now) {
        List<String> ordered =
                state.latency()
                        .fastestFirst(state.replicasOf(attempt.token()), state.unresponsive());
        for (String replica : attempt.startRound(ordered, state.quorumOf(attempt.token()), now)) {
            send(attempt, replica, now);
        }
    }

    /** Asks one more replica, if there is one that was not asked. */
    void askOneMore(ClaimAttempt attempt, Duration now) {
        attempt.contactNext().ifPresent(replica -> send(attempt, replica, now));
    }

    /** Asks one more replica where a reply is late, as far as the budget allows. */
    void hedgeIfLate(ClaimAttempt attempt, Duration now) {
        if (attempt.hasUncontacted() && isLate(attempt, now) && budget.trySpend()) {
            hedgedRequests++;
            askOneMore(attempt, now);
        }
    }

    private boolean isLate(ClaimAttempt attempt, Duration now) {
        Duration delay = state.latency().hedgeDelay(attempt.contactedReplicas());
        return attempt.sinceRequest(now).compareTo(delay) >= 0;
    }

    /** Asks all replicas whose replies are missing again, as far as the budget allows. */
    void retryUnanswered(ClaimAttempt attempt, Duration now) {
        for (String replica : attempt.startRetry(now)) {
            if (!budget.trySpend()) {
                return;
            }
            retriedRequests++;
            send(attempt, replica, now);
        }
    }

    private void send(ClaimAttempt attempt, String replica, Duration now) {
        state.sendRequest(
                replica, attempt.isClaiming() ? claimRequest(attempt, now) : claimQuery(attempt));
    }

    private ReplicationMessage claimRequest(ClaimAttempt attempt, Duration now) {
        ClaimIntent intent = attempt.intent();
        return new ReplicationMessage.ClaimRequest(
                state.epoch(),
                intent.token(),
                attempt.claimId(),
                intent.fingerprint(),
                timeUntil(intent.windowEnd(), now),
                intent.transitional());
    }

    private ReplicationMessage claimQuery(ClaimAttempt attempt) {
        return new ReplicationMessage.ClaimQuery(state.epoch(), attempt.token(), attempt.claimId());
    }
}
