package ochretiller.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.service.ReplicationService;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;
import ochretiller.net.Scheduler;

/** Claims idempotency keys from a majority of the fleet's replicas. Event loop thread only. */
final class FleetRunClaims implements RunClaims {
    /**
     * Time before the client's deadline by which a claim must be granted, and the storage of an
     * outcome confirmed.
     */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(120);

    private final Scheduler scheduler;
    private final ClientConnections connections;
    private final ReplicationService replication;

    /** Granted claims of unfinished runs on this server. */
    private final Map<InvocationId, ClaimId> grantedClaims = new HashMap<>();

    FleetRunClaims(
            Scheduler scheduler, ClientConnections connections, ReplicationService replication) {
        this.scheduler = scheduler;
        this.connections = connections;
        this.replication = replication;
    }

    @Override
    public void claim(RequestAttempt attempt, ClaimListener listener) {
        replication.claim(
                attempt.token,
                fingerprint(attempt),
                deadline(attempt),
                windowEnd(attempt),
                decision -> scheduler.post(() -> onDecision(attempt, decision, listener)));
    }

    private void onDecision(
            RequestAttempt attempt, ClaimDecision decision, ClaimListener listener) {
        if (decision.kind() == ClaimDecision.Kind.RUN) {
            onGranted(attempt, decision, listener);
            return;
        }
        switch (decision.kind()) {
            case REPLAY ->
                    connections.succeed(
                            attempt,
                            decision.outcome()
                                    .orElseThrow()
                                    .result()
                                    .getBytes(StandardCharsets.ISO_8859_1),
                            true);
            case FINGERPRINT_MISMATCH -> connections.fail(attempt, FailureReason.BODY_MISMATCH);
            case COMPLETED_WITHOUT_RESULT -> connections.fail(attempt, FailureReason.FAILED);
            case THROTTLED -> {
                // the admission controller throttles it when the outcome is NOT_DISPATCHED
            }
            default -> connections.fail(attempt, FailureReason.UNKNOWN_END);
        }
        listener.onClaimDenied();
    }

    private void onGranted(RequestAttempt attempt, ClaimDecision decision, ClaimListener listener) {
        decision.claimId().ifPresent(claim -> grantedClaims.put(attempt.id, claim));
        // A late decision must not start a run for a client that was answered or no longer waits.
        if (!attempt.isAnswered() && scheduler.now().compareTo(deadline(attempt)) < 0) {
            listener.onClaimGranted();
            return;
        }
        release(attempt);
        listener.onClaimDenied();
    }

    @Override
    public void release(RequestAttempt attempt) {
        ClaimId claim = grantedClaims.remove(attempt.id);
        if (claim != null) {
            replication.releaseClaim(claim, windowEnd(attempt));
        }
    }

    @Override
    public void onRunFinished(
            RequestAttempt attempt,
            RunOutcome.Status status,
            byte[] result,
            Consumer<Boolean> onStored) {
        boolean wasExecuted =
                status != RunOutcome.Status.NEVER_STARTED
                        && status != RunOutcome.Status.NOT_DISPATCHED;
        if (!wasExecuted) {
            release(attempt);
            onStored.accept(true);
            return;
        }
        ClaimId claim = grantedClaims.remove(attempt.id);
        if (claim == null) {
            onStored.accept(true);
            return;
        }
        boolean succeeded = status == RunOutcome.Status.SUCCEEDED;
        replication.reportOutcome(
                claim,
                fingerprint(attempt),
                succeeded ? result : null,
                deadline(attempt),
                windowEnd(attempt),
                succeeded ? onStored : stored -> {});
        if (!succeeded) {
            onStored.accept(true); // no result to lose, so the answer need not wait
        }
    }

    private static String fingerprint(RequestAttempt attempt) {
        return ReplicationService.requestFingerprint(
                attempt.operation.name(), IdempotencyCache.bodyDigest(attempt.body));
    }

    private static Duration deadline(RequestAttempt attempt) {
        return attempt.arrivedAt.plus(attempt.operation.clientTimeout()).minus(ANSWER_MARGIN);
    }

    private static Duration windowEnd(RequestAttempt attempt) {
        return attempt.arrivedAt.plus(attempt.operation.deduplicationWindow());
    }
}
