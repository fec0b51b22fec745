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
 * The claims of this server's own invocations: decides whether one is needed, answers repeats from
 * a local cache, and counts what comes of them. On the event loop.
 */
final class ClaimService {
    /** Outcomes that were learned lately and are answered without asking the replicas. */
    private static final int MAX_LOCAL_OUTCOMES = 1_000;

    private final Scheduler scheduler;
    private final ClaimCoordinator coordinator;
    private final ClaimModes modes;
    private final ClaimMetrics metrics;
    private final ClaimLatency latency = new ClaimLatency();
    private final Runnable publisher;
    private final Map<String, ClaimOutcome> localOutcomes =
            BoundedMap.evictingLeastRecentlyUsed(MAX_LOCAL_OUTCOMES);

    /**
     * Creates the service.
     *
     * @param publisher sends what the coordinator has to send
     */
    ClaimService(
            FleetContext context,
            ClaimCoordinator coordinator,
            ClaimModes modes,
            Runnable publisher) {
        this.scheduler = context.scheduler();
        this.coordinator = coordinator;
        this.modes = modes;
        this.metrics = new ClaimMetrics(context.metrics());
        this.publisher = publisher;
    }

    /** Returns the counters of claims. */
    ClaimMetrics metrics() {
        return metrics;
    }

    /** Returns how long granted claims took. */
    ClaimLatency latency() {
        return latency;
    }

    /** Notes that another server claims such operations. */
    void observeClaim(String fingerprint, boolean isTransitional, Duration now) {
        modes.claimObserved(RequestFingerprint.operationOf(fingerprint), isTransitional, now);
    }

    /** Asks whether an invocation may run; see {@link ReplicationService#claim}. */
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
        metrics.asked.add();
        if (isTransitional) {
            metrics.transitional.add();
        }
        if (!ReplicaEntryCodec.tokenFits(token)) {
            metrics.throttled.add();
            completion.accept(ClaimDecision.withoutClaim(ClaimDecision.Kind.THROTTLED));
            return;
        }
        Optional<ClaimOutcome> known = localOutcome(token, fingerprint);
        if (known.isPresent()) {
            metrics.replayed.add();
            completion.accept(ClaimDecision.replayOf(known.get()));
            return;
        }
        coordinator.claim(
                new ClaimIntent(token, fingerprint, isTransitional, deadline, windowEnd),
                now,
                decision -> decided(token, now, windowEnd, decision, completion));
        publisher.run();
    }

    private Optional<ClaimOutcome> localOutcome(String token, String fingerprint) {
        return Optional.ofNullable(localOutcomes.get(token))
                .filter(ClaimOutcome::succeeded)
                .filter(outcome -> outcome.fingerprint().equals(fingerprint))
                .filter(outcome -> !outcome.result().isEmpty());
    }

    private void decided(
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
                remember(token, decision.outcome().orElseThrow(), windowEnd);
            }
            case THROTTLED -> metrics.throttled.add();
            case OUTCOME_UNKNOWN -> metrics.outcomeUnknown.add();
            default -> {
                // Other decisions are counted where they are made.
            }
        }
        completion.accept(decision);
    }

    /**
     * Long results are not cached, since they would fill the memory. An outcome may be known for up
     * to one window longer than it should: a repeat after its window is a fault of the client.
     */
    private void remember(String token, ClaimOutcome outcome, Duration windowEnd) {
        if (outcome.isChunked()) {
            return;
        }
        localOutcomes.put(token, outcome);
        Duration remaining = windowEnd.minus(scheduler.now());
        scheduler.after(
                remaining.isNegative() ? Duration.ZERO : remaining,
                () -> localOutcomes.remove(token));
    }

    /** A claimed run has never begun: its token is free again. */
    void releaseClaim(ClaimId claimId, Duration windowEnd) {
        coordinator.releaseClaim(claimId, windowEnd, scheduler.now());
        publisher.run();
    }

    /** A claimed run has ended; see {@link ReplicationService#reportOutcome}. */
    void reportOutcome(
            ClaimId claimId,
            String fingerprint,
            Optional<byte[]> result,
            Duration deadline,
            Duration windowEnd,
            Consumer<Boolean> completion) {
        coordinator.reportOutcome(
                ClaimOutcomes.completed(claimId, fingerprint, result, deadline, windowEnd),
                scheduler.now(),
                isStored -> {
                    if (!isStored) {
                        metrics.outcomesNotStored.add();
                    }
                    completion.accept(isStored);
                });
        publisher.run();
    }
}
