package ochretiller.admission;

import java.time.Duration;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.server.ServerActions;

/** Starts queued invocations in queue order, as slots, memory and downstream calls permit. */
final class Dispatcher {
    private final AdmissionState state;
    private final CapacityLimits limits;
    private final OverloadDetector overload;
    private final RunEndListener onRunEnded;

    Dispatcher(
            AdmissionState state,
            CapacityLimits limits,
            OverloadDetector overload,
            RunEndListener onRunEnded) {
        this.state = state;
        this.limits = limits;
        this.overload = overload;
        this.onRunEnded = onRunEnded;
    }

    /** Starts all queued invocations that may start now. */
    void dispatchQueued(ServerActions server) {
        Duration now = server.now();
        int freeOnCores = limits.slots().freeOnCores(now);
        boolean mayAnyStart = freeOnCores > 0 || !state.registry().workerPools().isEmpty();
        if (!mayAnyStart || state.queue().isEmpty()) {
            return;
        }
        for (TrackedInvocation tracked : state.queue().inOrder(now)) {
            boolean isLocal = tracked.site().isLocal();
            int freeSlots = isLocal ? freeOnCores : server.freePoolSlots(tracked.site().poolName());
            if (freeSlots <= 0) {
                continue; // another site may have free slots
            }
            if (!fitsIntoMemory(tracked, now)) {
                return;
            }
            // Only one that is still queued is started, even if a host breaks the rule that no
            // outcome is reported inside a start.
            if (mayMakeCalls(tracked, now) && state.queue().remove(tracked)) {
                start(server, tracked);
                freeOnCores -= isLocal ? 1 : 0;
            }
        }
    }

    private boolean fitsIntoMemory(TrackedInvocation tracked, Duration now) {
        double moreKb = limits.memory().runOverheadKb(tracked.invocation().memoryKb());
        return limits.memory().fits(moreKb, state.idempotency().usedKb(now));
    }

    /** Returns whether the call limit permits a start; runs in worker pools make no calls here. */
    private boolean mayMakeCalls(TrackedInvocation tracked, Duration now) {
        return !tracked.site().isLocal()
                || !tracked.operation().makesCalls()
                || limits.calls().canAdmitCaller(now);
    }

    private void start(ServerActions server, TrackedInvocation tracked) {
        if (tracked.site().isLocal() && limits.slots().runningOnCores().isEmpty()) {
            overload.onProgress(server.now());
        }
        state.registry().startRun(tracked, server.now());
        state.idempotency().update(tracked.id(), State.RUNNING);
        server.startRun(tracked.id(), outcome -> onRunEnded.onRunEnded(tracked, outcome));
    }
}
