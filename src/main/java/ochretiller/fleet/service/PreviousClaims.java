package ochretiller.fleet.service;

import java.time.Duration;
import java.util.Optional;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.CompletedClaim;
import ochretiller.fleet.replication.Replica;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.transport.ReplicaEntryCodec;
import ochretiller.net.Scheduler;

/**
 * Settles the claims of previous incarnations of this server when replicas ask about them.
 *
 * <p>The in-flight marker of a run was durable before the run began. A disk that is complete and as
 * new as this server's last message therefore tells whether a claim ever ran; one that may lack
 * anything proves nothing, and no answer is given. On the event loop.
 */
final class PreviousClaims {
    private final Scheduler scheduler;
    private final ClaimId ownClaim;
    private final Duration maxWindow;
    private final RecoveredReplica recovered;
    private final ClaimCoordinator coordinator;
    private final ClaimMetrics metrics;
    private final Runnable publisher;
    private Optional<PreviousIncarnation> previousIncarnation = Optional.empty();
    private boolean isClosed;

    /**
     * Creates an instance that gives no answer until {@link #use} is called.
     *
     * @param ownClaim a claim of this incarnation, to compare others with
     * @param maxWindow longest idempotency window
     * @param publisher sends what the coordinator has to send
     */
    PreviousClaims(
            Scheduler scheduler,
            ClaimId ownClaim,
            Duration maxWindow,
            RecoveredReplica recovered,
            ClaimCoordinator coordinator,
            ClaimMetrics metrics,
            Runnable publisher) {
        this.scheduler = scheduler;
        this.ownClaim = ownClaim;
        this.maxWindow = maxWindow;
        this.recovered = recovered;
        this.coordinator = coordinator;
        this.metrics = metrics;
        this.publisher = publisher;
    }

    /** Sets what knows about previous runs. */
    void use(PreviousIncarnation previous) {
        previousIncarnation = Optional.of(previous);
    }

    /** Answers a replica that asks whether a claim of this server runs, if that can be proved. */
    void receive(ReplicationMessage.OwnerQuery query, Optional<Replica> replica) {
        boolean canBeSettled =
                isOfPreviousIncarnation(query.claimId())
                        && isDiskConclusive(replica)
                        && ReplicaEntryCodec.tokenFits(query.token());
        if (canBeSettled) {
            previousIncarnation.ifPresent(
                    previous -> previous.lookUp(query.token(), run -> settle(query, run)));
        }
    }

    private boolean isOfPreviousIncarnation(ClaimId claimId) {
        return claimId.server().equals(ownClaim.server())
                && claimId.incarnation() != ownClaim.incarnation()
                && recovered.metadata().incarnations().contains(claimId.incarnation());
    }

    private boolean isDiskConclusive(Optional<Replica> replica) {
        return recovered.snapshot().isPresent()
                && replica.isPresent()
                && !replica.get().isCheckingDisk()
                && replica.get().statistics().staleDisks() == 0;
    }

    private void settle(ReplicationMessage.OwnerQuery query, PreviousIncarnation.PreviousRun run) {
        if (isClosed) {
            return;
        }
        if (run.kind() == PreviousIncarnation.Finding.NEVER) {
            metrics.previousNeverRan.add();
            Duration now = scheduler.now();
            coordinator.releaseClaim(query.token(), query.claimId(), now.plus(maxWindow), now);
        } else if (run.kind() == PreviousIncarnation.Finding.ENDED) {
            metrics.previousCompleted.add();
            reportOutcome(query, run);
        }
        publisher.run();
    }

    private void reportOutcome(
            ReplicationMessage.OwnerQuery query, PreviousIncarnation.PreviousRun run) {
        Duration now = scheduler.now();
        CompletedClaim completed =
                ClaimOutcomes.completed(
                        query.claimId(),
                        run.body(),
                        Optional.ofNullable(run.result()),
                        now,
                        run.windowEnds());
        coordinator.reportPreviousOutcome(query.token(), completed, now);
    }

    /** Nothing is settled from here on. */
    void close() {
        isClosed = true;
    }
}
