package ochretiller.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import ochretiller.admission.AdmissionController;
import ochretiller.model.CallOutcome;
import ochretiller.model.InvocationId;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;

/**
 * One server of the simulator: passes the server's events to an admission controller and writes the
 * resulting actions as lines. Holds each continuation until the simulator reports its result.
 */
final class SimulatedServer implements ServerActions {
    private final String serverId;
    private final StringBuilder out;
    private final Duration startedAt;
    private final EventDecoder decoder;
    private final AdmissionController admission;
    private final Map<InvocationId, Function<RunOutcome, Action>> runs = new HashMap<>();
    private final Map<InvocationId, Function<CallOutcome, Action>> calls = new HashMap<>();
    private final Map<Long, Function<ResourceGauges, Action>> timers = new HashMap<>();
    private Duration now = Duration.ZERO;
    private long lastTimerId;

    /**
     * Starts a server.
     *
     * @param settings the server's settings
     * @param startedAt the current time of the simulator
     * @param out receives the actions, one line each
     */
    SimulatedServer(String serverId, WireFields settings, Duration startedAt, StringBuilder out) {
        this.serverId = serverId;
        this.out = out;
        this.startedAt = startedAt;
        decoder =
                new EventDecoder(
                        Settings.operations(settings), settings.flag("familyInfo.passesDeadline"));
        admission =
                Settings.admissionController(
                        settings,
                        new SplittableRandom(settings.wholeNumber("prng")),
                        settings.flag("familyInfo.justStarted"));
        admission.onStarted().execute(this);
    }

    /**
     * Handles an event.
     *
     * @param time the current time of the simulator
     * @throws MalformedException if the event cannot be decoded
     */
    void handleEvent(String event, WireFields fields, Duration time) {
        now = time.minus(startedAt);
        Action action =
                switch (event) {
                    case "arrival" ->
                            admission.onInvocationReceived(decoder.invocation(fields, now));
                    case "abandoned" ->
                            admission.onClientDisconnected(EventDecoder.invocationId(fields));
                    case "blocked" -> admission.onCallRequested(EventDecoder.invocationId(fields));
                    case "drain" ->
                            admission.onShutdownNotice(now.plus(EventDecoder.timeBudget(fields)));
                    case "run_over" ->
                            resume(
                                    runs.remove(EventDecoder.invocationId(fields)),
                                    EventDecoder.runOutcome(fields));
                    case "call_ended" ->
                            resume(
                                    calls.remove(EventDecoder.invocationId(fields)),
                                    EventDecoder.callOutcome(fields));
                    case "timeout_fired" ->
                            resume(
                                    timers.remove(EventDecoder.timerId(fields)),
                                    EventDecoder.gauges(fields));
                    default -> throw new MalformedException("unknown event: " + event);
                };
        action.execute(this);
    }

    /** Resumes a continuation; does nothing if the run, call or timer had already ended. */
    private static <T> Action resume(Function<T, Action> continuation, T result) {
        return continuation == null ? Action.NONE : continuation.apply(result);
    }

    private StringBuilder write(String action) {
        return out.append(action).append("\tserverId=").append(serverId);
    }

    private StringBuilder write(String action, InvocationId id) {
        return write(action).append("\tmsgId=").append(id.value());
    }

    private static int asDigit(boolean flag) {
        return flag ? 1 : 0;
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        runs.put(id, onOutcome);
        write("start", id).append('\n');
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        runs.put(id, onOutcome);
        write("echo", id).append('\n');
    }

    @Override
    public void throttle(InvocationId id, Duration retryAfter, boolean isFinal) {
        write("overload_reply", id);
        if (!retryAfter.isZero()) {
            out.append("\tretryInNs=").append(retryAfter.toNanos());
        }
        out.append(isFinal ? "\tlast=1\n" : "\n");
    }

    @Override
    public void fail(InvocationId id) {
        write("fail", id).append('\n');
    }

    @Override
    public void stopRun(InvocationId id) {
        write("preempt", id).append('\n');
    }

    @Override
    public void startCall(
            InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome) {
        calls.put(id, onOutcome);
        write("ask_below", id).append("\tpatienceNs=").append(timeout.toNanos()).append('\n');
    }

    @Override
    public void skipCall(InvocationId id) {
        write("fall_back", id).append('\n');
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration window) {
        write("store_key", id).append("\tspanNs=").append(window.toNanos()).append('\n');
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        write("erase", id).append('\n');
    }

    @Override
    public void schedule(Duration delay, Function<ResourceGauges, Action> onTimer) {
        lastTimerId++;
        timers.put(lastTimerId, onTimer);
        write("defer")
                .append("\toffsetNs=")
                .append(delay.toNanos())
                .append("\tname=")
                .append(lastTimerId)
                .append('\n');
    }

    @Override
    public void setHealth(boolean healthy, boolean answersDeepChecks) {
        write("set_health")
                .append("\tactive=")
                .append(asDigit(healthy))
                .append("\tstored=")
                .append(asDigit(answersDeepChecks))
                .append('\n');
    }

    @Override
    public void advertiseCapacity(double value) {
        write("advertise").append("\tlevel=").append(value).append('\n');
    }

    @Override
    public void setIdleTimeout(Duration timeout) {
        write("keepalive").append("\tspanNs=").append(timeout.toNanos()).append('\n');
    }

    @Override
    public void logNote(String text) {
        write("note_down").append("\tnoteText=").append(text).append('\n');
    }
}
