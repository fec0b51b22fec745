package ochretiller.admission;

import java.time.Duration;
import ochretiller.admission.IdempotencyEntry.State;
import ochretiller.server.ServerActions;

/** Starts queued invocations, in the queue's order, as far as slots, memory and calls allow it. */
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

    /** Starts what may start now. */
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
                continue; // another site may have slots
            }
            if (!fitsIntoMemory(tracked, now)) {
                return;
            }
            // A run may end while it is started, and what follows from that may have started this
            // one already: only what is still queued is started here.
            if (mayMakeItsCalls(tracked, now) && state.queue().remove(tracked)) {
                start(server, tracked);
                freeOnCores -= isLocal ? 1 : 0;
            }
        }
    }

    private boolean fitsIntoMemory(TrackedInvocation tracked, Duration now) {
        double moreKb = limits.memory().runOverheadKb(tracked.invocation().memoryKb());
        return limits.memory().fits(moreKb, state.idempotency().usedKb(now));
    }

    /** Runs in worker pools make no downstream calls through this server. */
    private boolean mayMakeItsCalls(TrackedInvocation tracked, Duration now) {
        return !tracked.site().isLocal()
                || !tracked.operation().makesCalls()
                || limits.calls().hasRoomForCaller(now);
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
