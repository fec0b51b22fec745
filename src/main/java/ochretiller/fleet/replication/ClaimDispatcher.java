package ochretiller.fleet.replication;

import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.List;

/**
 * Sends the requests of claim attempts: first to the fastest replicas that form a quorum, then to
 * one more if a reply is late (a hedged request) or is not a grant, and finally again to all
 * replicas whose replies are missing. Hedged and repeated requests draw on a {@link RetryBudget}.
 * Not thread-safe; callers pass the time.
 */
final class ClaimDispatcher {
    /** Minimum interval between probes of unresponsive replicas while no quorum is responsive. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);

    private final CoordinatorState state;
    private final RetryBudget budget = new RetryBudget();
    private long hedgedRequests;
    private long retriedRequests;
    private Duration lastProbe = Duration.ZERO;

    ClaimDispatcher(CoordinatorState state) {
        this.state = state;
    }

    /** Returns how many requests were sent to one more replica because a reply was late. */
    long hedgedRequests() {
        return hedgedRequests;
    }

    /** Returns how many requests were repeated. */
    long retriedRequests() {
        return retriedRequests;
    }

    void depositRetries() {
        budget.depositForClaim();
    }

    /** Returns whether enough replicas of a token are responsive for a quorum. */
    boolean isQuorumReachable(String token) {
        List<String> replicas = state.replicasOf(token);
        long responsive =
                replicas.stream()
                        .filter(replica -> !state.unresponsivePeers().isUnresponsive(replica))
                        .count();
        return !replicas.isEmpty() && responsive >= state.quorumOf(token);
    }

    /**
     * Probes unresponsive replicas, at most once per {@link #PROBE_INTERVAL} and independently of
     * any invocation.
     */
    void probeUnresponsive(String token, Duration now) {
        if (now.minus(lastProbe).compareTo(PROBE_INTERVAL) < 0) {
            return;
        }
        lastProbe = now;
        ClaimId probe = state.newClaimId();
        for (String replica : state.replicasOf(token)) {
            if (state.unresponsivePeers().isUnresponsive(replica)) {
                state.outbox()
                        .send(
                                replica,
                                new ReplicationMessage.ClaimQuery(state.epoch(), token, probe));
            }
        }
    }

    /** Starts a round of requests to the fastest replicas that form a quorum. */
    void startRound(ClaimAttempt attempt, Duration now) {
        List<String> ordered =
                state.replicaLatency()
                        .fastestFirst(state.replicasOf(attempt.token()), state.unresponsivePeers());
        for (String replica : attempt.startRound(ordered, state.quorumOf(attempt.token()), now)) {
            send(attempt, replica, now);
        }
    }

    /** Contacts one more replica, if any has not been contacted yet. */
    void contactNextReplica(ClaimAttempt attempt, Duration now) {
        attempt.contactNext().ifPresent(replica -> send(attempt, replica, now));
    }

    /** Contacts one more replica if a reply is late and the retry budget allows it. */
    void hedgeIfLate(ClaimAttempt attempt, Duration now) {
        if (attempt.hasUncontacted() && isLate(attempt, now) && budget.tryWithdraw()) {
            hedgedRequests++;
            contactNextReplica(attempt, now);
        }
    }

    private boolean isLate(ClaimAttempt attempt, Duration now) {
        Duration delay = state.replicaLatency().hedgeDelay(attempt.contactedReplicas());
        return attempt.timeSinceRequest(now).compareTo(delay) >= 0;
    }

    /** Repeats the request to replicas whose replies are missing, within the budget. */
    void retryUnanswered(ClaimAttempt attempt, Duration now) {
        for (String replica : attempt.startRetry(now)) {
            if (!budget.tryWithdraw()) {
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
