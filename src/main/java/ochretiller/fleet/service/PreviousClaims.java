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
 * Resolves claims of previous incarnations of this server when replicas query them.
 *
 * <p>The in-flight marker of a run was durable before the run began. A disk that is complete and as
 * recent as this server's last message therefore proves whether a claim ever ran. A disk that may
 * lack records proves nothing, and the query is ignored. Confined to the event loop.
 */
final class PreviousClaims {
    private final Scheduler scheduler;
    private final ClaimId ownClaim;
    private final Duration maxWindow;
    private final RecoveredReplica recovered;
    private final ClaimCoordinator coordinator;
    private final ClaimMetrics metrics;
    private final Runnable flushMessages;
    private Optional<PreviousRunLookup> previousRunLookup = Optional.empty();
    private boolean isClosed;

    /**
     * Creates an instance that ignores all queries until {@link #setPreviousRunLookup} is called.
     *
     * @param ownClaim any claim ID of this incarnation; gives its server name and incarnation
     * @param maxWindow longest idempotency window
     * @param flushMessages sends the coordinator's queued messages
     */
    PreviousClaims(
            Scheduler scheduler,
            ClaimId ownClaim,
            Duration maxWindow,
            RecoveredReplica recovered,
            ClaimCoordinator coordinator,
            ClaimMetrics metrics,
            Runnable flushMessages) {
        this.scheduler = scheduler;
        this.ownClaim = ownClaim;
        this.maxWindow = maxWindow;
        this.recovered = recovered;
        this.coordinator = coordinator;
        this.metrics = metrics;
        this.flushMessages = flushMessages;
    }

    /** Sets the lookup of previous runs. */
    void setPreviousRunLookup(PreviousRunLookup lookup) {
        previousRunLookup = Optional.of(lookup);
    }

    /** Handles a replica's query for a claim of this server, if the disk proves its state. */
    void receive(ReplicationMessage.OwnerQuery query, Optional<Replica> replica) {
        boolean isProvable =
                isOfPreviousIncarnation(query.claimId())
                        && isDiskConclusive(replica)
                        && ReplicaEntryCodec.canReplicateToken(query.token());
        if (isProvable) {
            previousRunLookup.ifPresent(
                    lookup -> lookup.lookUp(query.token(), run -> resolve(query, run)));
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

    private void resolve(ReplicationMessage.OwnerQuery query, PreviousRunLookup.PreviousRun run) {
        if (isClosed) {
            return;
        }
        if (run.progress() == PreviousRunLookup.Progress.NEVER_STARTED) {
            metrics.previousNeverRan.add();
            Duration now = scheduler.now();
            coordinator.releaseClaim(query.token(), query.claimId(), now.plus(maxWindow), now);
        } else if (run.progress() == PreviousRunLookup.Progress.COMPLETED) {
            metrics.previousCompleted.add();
            reportOutcome(query, run);
        }
        flushMessages.run();
    }

    private void reportOutcome(
            ReplicationMessage.OwnerQuery query, PreviousRunLookup.PreviousRun run) {
        Duration now = scheduler.now();
        CompletedClaim completed =
                ClaimOutcomes.completedClaim(
                        query.claimId(),
                        run.fingerprint(),
                        Optional.ofNullable(run.result()),
                        now,
                        run.windowEnd());
        coordinator.reportPreviousOutcome(query.token(), completed, now);
    }

    /** Stops resolving claims; pending lookups have no effect. */
    void close() {
        isClosed = true;
    }
}
