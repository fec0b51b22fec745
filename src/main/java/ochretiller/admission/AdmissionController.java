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
 * The admission decisions of one server. The host tells what happens through the {@code on...}
 * methods; each returns the {@link Action} to be executed on the host's {@link ServerActions},
 * where it leaves continuations for the outcomes of runs, calls and timers. The controller only
 * says which steps an event causes, and in which order; each step has a class of its own.
 *
 * <p>Not thread-safe: events and actions belong on one thread. See the package page for the parts
 * and for the rules that they keep.
 */
public final class AdmissionController {
    /** Expected duration of nothing: while no run is on the cores there is no stall. */
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

    /** Returns a builder with the settings of a server that nothing is known of. */
    public static AdmissionControllerBuilder builder() {
        return new AdmissionControllerBuilder();
    }

    /** The server has started. To be called once, before all other events. */
    public Action onStarted() {
        return server -> {
            signals.advertiser().announceStart(server);
            scheduleTick(server);
        };
    }

    /** An invocation was read and waits to be decided on. */
    public Action onInvocationReceived(Invocation invocation) {
        return server -> {
            TrackedInvocation tracked = intake.register(server, invocation);
            gate.accept(server, tracked);
            shedder.shed(server);
            dispatcher.dispatchQueued(server);
            deadlines.scheduleTimers(server, tracked);
        };
    }

    /**
     * A keyed attempt of a previous process is known from durable storage. Told again once the end
     * of its run is known, if it was not at first.
     *
     * @param id the attempt, by a number that no invocation of this process has
     * @param expiresAt end of its deduplication window, counted from the start of this server
     * @param status how its run ended, or null while that is unknown
     */
    public Action onEntryRestored(InvocationId id, Duration expiresAt, RunOutcome.Status status) {
        return server -> {
            state.idempotency().restore(id, expiresAt);
            if (status == null) {
                state.idempotency().update(id, IdempotencyEntry.State.RUNNING);
            } else {
                outcomes.settleRestored(server, id, status);
            }
        };
    }

    /** A run waits for a downstream call. */
    public Action onCallRequested(InvocationId id) {
        return server -> {
            if (calls.enqueue(server, id)) {
                calls.dispatchCalls(server);
                dispatcher.dispatchQueued(server);
            }
        };
    }

    /** The client of an invocation is gone; no answer is owed to it. */
    public Action onClientGone(InvocationId id) {
        return server -> {
            Optional<TrackedInvocation> found = state.registry().find(id);
            if (found.isPresent()) {
                abandon(server, found.get());
                dispatcher.dispatchQueued(server);
            }
        };
    }

    /**
     * The process is to be stopped.
     *
     * @param killAt when it is killed at the latest, counted from the start of this server
     */
    public Action onShutdownNotice(Duration killAt) {
        return server -> {
            Duration now = server.now();
            limits.drain().startDraining(now, killAt);
            Duration lastAnswerAt = killAt.minus(AdmissionTiming.ANSWER_MARGIN);
            server.schedule(timeUntil(lastAnswerAt, now), gauges -> deadlines::enforceAll);
            signals.advertiser().announceDrain(server);
            // Until the grace period is over it is of use, and its successor may not be known yet.
            server.schedule(
                    timeUntil(limits.drain().graceEndsAt(), now),
                    gauges -> signals.advertiser()::closeCapacity);
        };
    }

    private Action onRunEnded(TrackedInvocation tracked, RunOutcome outcome) {
        return server -> {
            outcomes.settle(server, tracked, outcome);
            calls.dispatchCalls(server);
            dispatcher.dispatchQueued(server);
        };
    }

    private void abandon(ServerActions server, TrackedInvocation tracked) {
        tracked.markAnswered();
        if (tracked.isRunning()) {
            limits.cancellation().cancel(server, tracked);
        } else if (tracked.isAwaitingCall() || tracked.isCalling()) {
            limits.calls().remove(tracked); // the end of its run follows
        } else {
            state.queue().remove(tracked);
            state.idempotency().stopWaiting(tracked);
            gate.discardEntry(server, tracked);
            state.registry().close(tracked);
        }
    }

    private void scheduleTick(ServerActions server) {
        server.schedule(AdmissionTiming.TICK_INTERVAL, this::onTick);
    }

    private Action onTick(ResourceGauges gauges) {
        return server -> {
            adaptLimits(server.now(), gauges);
            deadlines.enforceAll(server);
            shedder.shed(server);
            calls.dispatchCalls(server);
            dispatcher.dispatchQueued(server);
            advertise(server, gauges);
            scheduleTick(server);
        };
    }

    private void adaptLimits(Duration now, ResourceGauges gauges) {
        boolean isLimiting =
                state.queue().isAnyQueuedFor(ExecutionSite.LOCAL_CORES)
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
        signals.advertiser().onConnections(server, gauges.openConnections());
    }
}
