package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Replicates outcomes of claimed runs to a write quorum of their tokens' replicas before the client
 * is answered, and afterwards to the remaining replicas with a few retries. Tracks granted claims
 * that have not ended. Not thread-safe; callers pass the time.
 */
final class OutcomeReplication {
    /** Maximum number of outcomes being replicated. */
    private static final int MAX_PENDING = 10_000;

    /**
     * Maximum total length of chunked results retained for replicas to request; beyond it replicas
     * get the outcome alone.
     */
    private static final long MAX_RETAINED_RESULT_CHARACTERS = 8L << 20;

    private final CoordinatorState state;
    private final Map<ClaimId, GrantedClaim> grantedClaims = new LinkedHashMap<>();
    private final Map<ClaimId, PendingOutcome> pendingOutcomes = new LinkedHashMap<>();
    private long retainedResultCharacters;

    /** A claim that may run, and the replicas' change numbers when they granted it. */
    private record GrantedClaim(String token, Map<String, Long> changeNumbers) {}

    OutcomeReplication(CoordinatorState state) {
        this.state = state;
    }

    int pendingCount() {
        return pendingOutcomes.size();
    }

    void recordGrant(ClaimId claimId, String token, Map<String, Long> changeNumbers) {
        grantedClaims.put(claimId, new GrantedClaim(token, changeNumbers));
    }

    /**
     * Removes a granted claim that will not run; returns its token, or empty if it was not granted
     * or has ended.
     */
    Optional<String> cancelGrant(ClaimId claimId) {
        return Optional.ofNullable(grantedClaims.remove(claimId)).map(GrantedClaim::token);
    }

    /**
     * Starts the replication of an outcome; calls {@code onStored} with false at once if that is
     * not possible.
     */
    void start(CompletedClaim completed, Duration now, Consumer<Boolean> onStored) {
        GrantedClaim claim = grantedClaims.remove(completed.claimId());
        if (claim == null || pendingOutcomes.size() >= MAX_PENDING) {
            onStored.accept(false);
            return;
        }
        CompletedClaim retained = withinRetentionLimit(completed);
        retainedResultCharacters += retained.chunkedResult().map(String::length).orElse(0);
        PendingOutcome outcome =
                new PendingOutcome(claim.token, retained, claim.changeNumbers, onStored, now);
        pendingOutcomes.put(completed.claimId(), outcome);
        send(outcome, now);
    }

    /**
     * Starts the replication of an outcome of a previous incarnation of this server, unless it is
     * already in progress.
     */
    void startPrevious(String token, CompletedClaim completed, Duration now) {
        if (!pendingOutcomes.containsKey(completed.claimId())) {
            recordGrant(completed.claimId(), token, Map.of());
            start(completed, now, stored -> {});
        }
    }

    private CompletedClaim withinRetentionLimit(CompletedClaim completed) {
        ClaimOutcome outcome = completed.outcome();
        boolean fits =
                retainedResultCharacters + outcome.resultSize() <= MAX_RETAINED_RESULT_CHARACTERS;
        return outcome.isChunked() && fits ? completed : completed.withoutChunkedResult();
    }

    /** Returns the chunked result of a claim of this server while replicas may still request it. */
    Optional<String> retainedResult(ClaimId claimId) {
        return Optional.ofNullable(pendingOutcomes.get(claimId))
                .flatMap(PendingOutcome::chunkedResult);
    }

    private void send(PendingOutcome outcome, Duration now) {
        outcome.recordSent(now);
        for (String replica : state.replicasOf(outcome.token())) {
            if (!outcome.isStoredBy(replica)) {
                state.sendRequest(replica, outcome.toMessage(state.epoch(), now));
            }
        }
    }

    /** Restarts the replication of all pending outcomes in a later epoch. */
    void onEpochChange(Duration now) {
        pendingOutcomes
                .values()
                .forEach(
                        outcome -> {
                            outcome.clearConfirmations();
                            send(outcome, now);
                        });
    }

    void onOutcomeStored(String from, ReplicationMessage.OutcomeStored message, Duration now) {
        PendingOutcome outcome = pendingOutcomes.get(message.claimId());
        boolean countsTowardsQuorum =
                outcome != null
                        && message.epoch() == state.epoch()
                        && state.replicasOf(outcome.token()).contains(from);
        if (!countsTowardsQuorum) {
            return;
        }
        // The time to transfer a chunked result is no measure of claim latency.
        if (outcome.addConfirmation(from) && outcome.chunkedResult().isEmpty()) {
            state.replicaLatency().record(from, outcome.timeSinceSent(now));
        }
        if (hasQuorum(outcome)) {
            outcome.reportStored(true);
        }
        if (outcome.confirmationCount() == state.replicasOf(outcome.token()).size()) {
            remove(message.claimId());
        }
    }

    private boolean hasQuorum(PendingOutcome outcome) {
        return outcome.confirmationCount() >= state.quorumOf(outcome.token());
    }

    private void remove(ClaimId claimId) {
        PendingOutcome removed = pendingOutcomes.remove(claimId);
        if (removed != null) {
            retainedResultCharacters -= removed.chunkedResult().map(String::length).orElse(0);
        }
    }

    void tick(Duration now) {
        for (Map.Entry<ClaimId, PendingOutcome> each : List.copyOf(pendingOutcomes.entrySet())) {
            tick(each.getKey(), each.getValue(), now);
        }
    }

    private void tick(ClaimId claimId, PendingOutcome outcome, Duration now) {
        if (outcome.isPastReplyDeadline(now)) {
            outcome.reportStored(false);
        }
        boolean quorum = hasQuorum(outcome);
        if (outcome.isFinished(quorum, now)) {
            remove(claimId);
            return;
        }
        if (!outcome.isRetryDue(now)) {
            return;
        }
        if (quorum) {
            outcome.countRetryAfterQuorum();
        }
        send(outcome, now);
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState(Duration now) {
        StringBuilder text = new StringBuilder().append(grantedClaims);
        pendingOutcomes.forEach(
                (claimId, outcome) ->
                        text.append('e').append(claimId).append(outcome.describeState(now)));
        return text.toString();
    }
}
