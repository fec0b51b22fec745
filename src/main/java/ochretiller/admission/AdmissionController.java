package ochretiller.admission;

import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.Optional;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/**
 * Makes the admission decisions of one server. The host reports events through the {@code on...}
 * methods; each returns the {@link Action} that the host executes on its {@link ServerActions}.
 * Continuations that an action registers there receive the outcomes of runs, calls and timers. The
 * controller only selects and orders the steps that follow an event; each step has its own class.
 *
 * <p>Not thread-safe: events and actions must run on one thread. The package documentation lists
 * the parts and the rules that they enforce.
 */
public final class AdmissionController {
    /** Expected run time while no run is on the cores, seconds: long enough to rule out a stall. */
    private static final double NO_RUN_SECONDS = 1e9;

    private final AdmissionState state;
    private final CapacityLimits limits;
    private final LoadSignals signals;
    private final Responder responder;
    private final AdmissionGate gate;
    private final InvocationIntake intake;
    private final QueueShedder shedder;
    private final Dispatcher dispatcher;
    private final RunOutcomeHandler outcomes;
    private final DownstreamCallDispatcher calls;
    private final DeadlineEnforcer deadlines;

    AdmissionController(AdmissionState state, CapacityLimits limits, LoadSignals signals) {
        this.state = state;
        this.limits = limits;
        this.signals = signals;
        OverloadDetector overload = signals.overload();
        responder = new Responder(state, limits, signals);
        gate = new AdmissionGate(state, limits, overload, responder);
        intake = new InvocationIntake(state, signals);
        shedder = new QueueShedder(state, limits, gate);
        dispatcher = new Dispatcher(state, limits, overload, this::onRunEnded);
        outcomes = new RunOutcomeHandler(state, limits, overload, gate);
        calls =
                new DownstreamCallDispatcher(
                        state.registry(),
                        limits.calls(),
                        overload,
                        responder,
                        this::onCallRequested);
        deadlines = new DeadlineEnforcer(state, limits, overload, gate, responder);
    }

    /** Returns a builder whose defaults are one warm core and no other limits. */
    public static AdmissionControllerBuilder builder() {
        return new AdmissionControllerBuilder();
    }

    /** Handles the start of the server. Must be called once, before all other events. */
    public Action onStarted() {
        return server -> {
            signals.advertiser().announceStart(server);
            scheduleTick(server);
        };
    }

    /** Handles an invocation that the host has read: admits, rejects or replays it. */
    public Action onInvocationReceived(Invocation invocation) {
        return server -> {
            TrackedInvocation tracked = intake.register(server, invocation);
            gate.decide(server, tracked);
            shedder.shed(server);
            dispatcher.dispatchQueued(server);
            deadlines.scheduleChecks(server, tracked);
        };
    }

    /**
     * Restores the idempotency entry of a keyed attempt of a previous process from durable storage.
     * If the end of its run is not known at first, the host calls this again once it is.
     *
     * @param id identifier of the attempt, which no invocation of this process may have
     * @param expiresAt end of its deduplication window, as time since the start of this server
     * @param status how its run ended, or null while that is unknown
     */
    public Action onEntryRestored(InvocationId id, Duration expiresAt, RunOutcome.Status status) {
        return server -> {
            state.idempotency().restore(id, expiresAt);
            if (status == null) {
                state.idempotency().update(id, IdempotencyEntry.State.RUNNING);
            } else {
                outcomes.onRestoredRunEnded(server, id, status);
            }
        };
    }

    /** Handles the request of a run for a downstream call. */
    public Action onCallRequested(InvocationId id) {
        return server -> {
            if (calls.enqueue(server, id)) {
                calls.dispatchCalls(server);
                dispatcher.dispatchQueued(server);
            }
        };
    }

    /** Handles the disconnection of the client of an invocation, which then needs no answer. */
    public Action onClientDisconnected(InvocationId id) {
        return server -> {
            Optional<TrackedInvocation> found = state.registry().find(id);
            if (found.isPresent()) {
                abandon(server, found.get());
                dispatcher.dispatchQueued(server);
            }
        };
    }

    /**
     * Handles the notice that the process will be stopped.
     *
     * @param killAt latest time at which it is killed, as time since the start of this server
     */
    public Action onShutdownNotice(Duration killAt) {
        return server -> {
            Duration now = server.now();
            limits.drain().startDraining(now, killAt);
            Duration lastAnswerAt = killAt.minus(AdmissionTiming.ANSWER_MARGIN);
            server.schedule(timeUntil(lastAnswerAt, now), gauges -> deadlines::enforceAll);
            signals.advertiser().announceDrain(server);
            // The server still runs work in the grace period, and clients may know no replacement.
            server.schedule(
                    timeUntil(limits.drain().graceEndsAt(), now),
                    gauges -> signals.advertiser()::advertiseNoCapacity);
        };
    }

    private Action onRunEnded(TrackedInvocation tracked, RunOutcome outcome) {
        return server -> {
            outcomes.onRunEnded(server, tracked, outcome);
            calls.dispatchCalls(server);
            dispatcher.dispatchQueued(server);
        };
    }

    private void abandon(ServerActions server, TrackedInvocation tracked) {
        tracked.markAnswered();
        if (tracked.isRunning()) {
            limits.cancellation().cancel(server, tracked);
        } else if (tracked.isAwaitingCall() || tracked.isCalling()) {
            limits.calls().remove(tracked); // its run is closed when it ends
        } else {
            state.queue().remove(tracked);
            tracked.stopAwaiting();
            gate.discardEntry(server, tracked);
            state.registry().remove(tracked);
        }
    }

    private void scheduleTick(ServerActions server) {
        server.schedule(AdmissionTiming.TICK_INTERVAL, this::onTick);
    }

    private Action onTick(ResourceGauges gauges) {
        return server -> {
            try {
                adaptLimits(server.now(), gauges);
                deadlines.enforceAll(server);
                shedder.shed(server);
                calls.dispatchCalls(server);
                dispatcher.dispatchQueued(server);
                advertise(server, gauges);
            } finally {
                scheduleTick(server); // one failed tick must not be the last one
            }
        };
    }

    private void adaptLimits(Duration now, ResourceGauges gauges) {
        boolean isLimiting =
                state.queue().hasQueuedFor(ExecutionSite.LOCAL_CORES)
                        && limits.slots().freeOnCores(now) <= 0;
        limits.concurrency().onTick(now, gauges, isLimiting);
        double longestExpectedSeconds =
                limits.slots().runningOnCores().stream()
                        .mapToDouble(run -> state.costs().expectedSeconds(run.invocation(), now))
                        .max()
                        .orElse(NO_RUN_SECONDS);
        signals.overload().checkStall(now, longestExpectedSeconds);
    }

    private void advertise(ServerActions server, ResourceGauges gauges) {
        if (!limits.drain().isDraining()) {
            Duration wait = responder.expectedWait(server, ExecutionSite.LOCAL_CORES);
            signals.advertiser().onTick(server, wait, state.costs().shortestObjective());
        }
        signals.advertiser().adaptIdleTimeout(server, gauges.openConnections());
    }
}
