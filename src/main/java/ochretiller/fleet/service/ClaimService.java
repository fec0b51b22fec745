package ochretiller.fleet.service;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimDecision;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimIntent;
import ochretiller.fleet.replication.ClaimModes;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ClaimRequirement;
import ochretiller.fleet.transport.ReplicaEntryCodec;
import ochretiller.net.Scheduler;

/**
 * Handles the claims of this server's own invocations: decides whether a claim is required, answers
 * retries from a local cache, and counts the decisions. Confined to the event loop.
 */
final class ClaimService {
    /** Maximum number of cached outcomes, which are replayed without asking the replicas. */
    private static final int MAX_LOCAL_OUTCOMES = 1_000;

    private final Scheduler scheduler;
    private final ClaimCoordinator coordinator;
    private final ClaimModes modes;
    private final ClaimMetrics metrics;
    private final ClaimLatency latency = new ClaimLatency();
    private final Runnable flushMessages;
    private final Map<String, ClaimOutcome> localOutcomes =
            BoundedMap.evictingLeastRecentlyUsed(MAX_LOCAL_OUTCOMES);

    /**
     * Creates the service.
     *
     * @param flushMessages sends the coordinator's queued messages
     */
    ClaimService(
            FleetContext context,
            ClaimCoordinator coordinator,
            ClaimModes modes,
            Runnable flushMessages) {
        this.scheduler = context.scheduler();
        this.coordinator = coordinator;
        this.modes = modes;
        this.metrics = new ClaimMetrics(context.metrics());
        this.flushMessages = flushMessages;
    }

    /** Returns the counters of claims. */
    ClaimMetrics metrics() {
        return metrics;
    }

    /** Returns the latency statistics of granted claims. */
    ClaimLatency latency() {
        return latency;
    }

    /** Records that another server claims invocations of the fingerprint's operation. */
    void observeClaim(String fingerprint, boolean isTransitional, Duration now) {
        modes.recordObservedClaim(RequestFingerprint.operationOf(fingerprint), isTransitional, now);
    }

    /** Decides whether an invocation may run; see {@link ReplicationService#claim}. */
    void claim(
            String token,
            String fingerprint,
            Duration deadline,
            Duration windowEnd,
            Consumer<ClaimDecision> completion) {
        Duration now = scheduler.now();
        ClaimRequirement requirement =
                modes.requirementFor(RequestFingerprint.operationOf(fingerprint), now);
        if (requirement == ClaimRequirement.NOT_REQUIRED) {
            completion.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.RUN));
            return;
        }
        boolean isTransitional = requirement == ClaimRequirement.REQUIRED_TRANSITIONALLY;
        metrics.requested.add();
        if (isTransitional) {
            metrics.transitional.add();
        }
        if (!ReplicaEntryCodec.canReplicateToken(token)) {
            metrics.throttled.add();
            completion.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.THROTTLED));
            return;
        }
        Optional<ClaimOutcome> cachedOutcome = localOutcome(token, fingerprint);
        if (cachedOutcome.isPresent()) {
            metrics.replayed.add();
            completion.accept(ClaimDecision.replayOf(cachedOutcome.get()));
            return;
        }
        coordinator.claim(
                new ClaimIntent(token, fingerprint, isTransitional, deadline, windowEnd),
                now,
                decision -> handleDecision(token, now, windowEnd, decision, completion));
        flushMessages.run();
    }

    private Optional<ClaimOutcome> localOutcome(String token, String fingerprint) {
        return Optional.ofNullable(localOutcomes.get(token))
                .filter(ClaimOutcome::succeeded)
                .filter(outcome -> outcome.fingerprint().equals(fingerprint))
                .filter(outcome -> !outcome.result().isEmpty());
    }

    private void handleDecision(
            String token,
            Duration claimedAt,
            Duration windowEnd,
            ClaimDecision decision,
            Consumer<ClaimDecision> completion) {
        switch (decision.kind()) {
            case RUN -> {
                metrics.granted.add();
                latency.add(scheduler.now().minus(claimedAt));
            }
            case REPLAY -> {
                metrics.replayed.add();
                cacheOutcome(token, decision.outcome().orElseThrow(), windowEnd);
            }
            case THROTTLED -> metrics.throttled.add();
            case OUTCOME_UNKNOWN -> metrics.outcomeUnknown.add();
            default -> {
                // The other kinds are counted where the invocation fails.
            }
        }
        completion.accept(decision);
    }

    /**
     * Caches an outcome unless its result is chunked, which would fill the memory. It may stay
     * cached for one window too long, which is harmless: clients must not retry after the window.
     */
    private void cacheOutcome(String token, ClaimOutcome outcome, Duration windowEnd) {
        if (outcome.isChunked()) {
            return;
        }
        localOutcomes.put(token, outcome);
        Duration remaining = windowEnd.minus(scheduler.now());
        scheduler.runAfter(
                remaining.isNegative() ? Duration.ZERO : remaining,
                () -> localOutcomes.remove(token));
    }

    /** Reports that a claimed run was never started, so that its token is released. */
    void releaseClaim(ClaimId claimId, Duration windowEnd) {
        coordinator.releaseClaim(claimId, windowEnd, scheduler.now());
        flushMessages.run();
    }

    /** Reports that a claimed run has ended; see {@link ReplicationService#reportOutcome}. */
    void reportOutcome(
            ClaimId claimId,
            String fingerprint,
            Optional<byte[]> result,
            Duration deadline,
            Duration windowEnd,
            Consumer<Boolean> completion) {
        coordinator.reportOutcome(
                ClaimOutcomes.completedClaim(claimId, fingerprint, result, deadline, windowEnd),
                scheduler.now(),
                isStored -> {
                    if (!isStored) {
                        metrics.outcomesNotStored.add();
                    }
                    completion.accept(isStored);
                });
        flushMessages.run();
    }
}
