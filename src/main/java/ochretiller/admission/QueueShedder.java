package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import ochretiller.server.ServerActions;

/**
 * Rejects queued invocations that cannot end in time any more, or that do not fit into the memory
 * (rule "nothing falls over"), one after another until the rest is feasible.
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

    /** Rejects as many queued invocations as have to go. */
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
            Optional<TrackedInvocation> infeasibleThere = findInfeasible(server, pool, now);
            if (infeasibleThere.isPresent()) {
                return infeasibleThere;
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
