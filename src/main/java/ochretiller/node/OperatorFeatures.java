package ochretiller.node;

import java.util.Optional;
import ochretiller.net.Scheduler;
import ochretiller.uwsgi.UwsgiFrontend;

/**
 * The optional components of a server, which its operators enable. A disabled one is a no-op
 * implementation, so that callers need no checks.
 *
 * @param idempotencyStore stores keyed invocations across restarts
 * @param claims claims idempotency keys in the fleet
 * @param rollout follows the versions that the fleet rolls out
 * @param audit records versions and outcomes in the audit log
 * @param pools worker pools that run operations instead of the processor
 * @param fleet membership in a fleet
 * @param uwsgi the uwsgi frontend, empty if disabled
 */
record OperatorFeatures(
        IdempotencyStore idempotencyStore,
        RunClaims claims,
        RolloutParticipation rollout,
        AuditTrail audit,
        WorkerPools pools,
        FleetMembership fleet,
        Optional<UwsgiFrontend> uwsgi) {
    /** Returns the features of a server on which none is enabled. */
    static OperatorFeatures none(Scheduler scheduler) {
        return new OperatorFeatures(
                new VolatileIdempotency(scheduler),
                new UnsharedRunClaims(),
                new NoRollout(),
                new NoAuditTrail(),
                new NoWorkerPools(),
                new NoFleet(),
                Optional.empty());
    }
}
