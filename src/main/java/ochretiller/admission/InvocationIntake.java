package ochretiller.admission;

import java.time.Duration;
import java.util.Optional;
import ochretiller.model.Invocation;
import ochretiller.server.ServerActions;

/** Registers invocations that were read, with their quota weight, and counts them as load. */
final class InvocationIntake {
    private final AdmissionState state;
    private final LoadSignals signals;

    InvocationIntake(AdmissionState state, LoadSignals signals) {
        this.state = state;
        this.signals = signals;
    }

    /** Registers an invocation, and returns the object that tracks it. */
    TrackedInvocation register(ServerActions server, Invocation invocation) {
        Duration now = server.now();
        ExecutionSite site =
                ExecutionSite.of(Optional.ofNullable(server.poolOf(invocation.operation())));
        double weight = state.quotas().priorityWeight(invocation, now);
        TrackedInvocation tracked = new TrackedInvocation(invocation, site, weight);
        state.registry().add(tracked);
        signals.overload().onRead(now, now.minus(invocation.arrivedAt()));
        signals.retryElsewhere().onRead(now, invocation.isRetry());
        return tracked;
    }
}
