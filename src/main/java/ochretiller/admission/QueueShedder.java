package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import ochretiller.server.ServerActions;

/**
 * Rejects queued invocations that can no longer end in time or that do not fit into memory, one at
 * a time until the rest is feasible.
 */
final class QueueShedder {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final AdmissionGate gate;

    QueueShedder(AdmissionState state, CapacityLimits limits, AdmissionGate gate) {
        this.state = state;
        this.limits = limits;
        this.gate = gate;
    }

    /** Rejects queued invocations until the rest is feasible and fits into memory. */
    void shed(ServerActions server) {
        while (!state.queue().isEmpty()) {
            Optional<TrackedInvocation> victim = findVictim(server);
            if (victim.isEmpty()) {
                return;
            }
            state.queue().remove(victim.get());
            gate.reject(server, victim.get(), victim.get().isPastCompletionDeadline(server.now()));
        }
    }

    private Optional<TrackedInvocation> findVictim(ServerActions server) {
        Duration now = server.now();
        Optional<TrackedInvocation> infeasible =
                findInfeasible(server, ExecutionSite.LOCAL_CORES, now);
        if (infeasible.isPresent()) {
            return infeasible;
        }
        for (ExecutionSite pool : state.registry().workerPools()) {
            Optional<TrackedInvocation> infeasibleInPool = findInfeasible(server, pool, now);
            if (infeasibleInPool.isPresent()) {
                return infeasibleInPool;
            }
        }
        if (limits.memory().fits(0, state.idempotency().usedKb(now))) {
            return Optional.empty();
        }
        return Optional.of(state.queue().evictionVictim(now));
    }

    private Optional<TrackedInvocation> findInfeasible(
            ServerActions server, ExecutionSite site, Duration now) {
        return state.queue().findInfeasible(limits.slots().load(server, site), now);
    }
}
