package ochretiller.node;

import java.util.Optional;
import ochretiller.net.Scheduler;
import ochretiller.uwsgi.UwsgiFrontend;

/**
 * The parts of a server that its operators can switch on. One that is off is a no-op, so that
 * nobody has to ask.
 *
 * @param idempotencyStore what is stored of keyed invocations beyond the life of the process
 * @param claims claims on idempotency keys in the fleet
 * @param rollout versions that the fleet rolls out
 * @param audit record of what the server acted on
 * @param pools worker pools that run operations in the processor's place
 * @param fleet membership in a fleet
 * @param uwsgi the uwsgi frontend
 */
record OperatorFeatures(
        IdempotencyStore idempotencyStore,
        RunClaims claims,
        RolloutParticipation rollout,
        AuditTrail audit,
        WorkerPools pools,
        FleetMembership fleet,
        Optional<UwsgiFrontend> uwsgi) {
    /** Returns the features of a server whose operators have switched nothing on. */
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
