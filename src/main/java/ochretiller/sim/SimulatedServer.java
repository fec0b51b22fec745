package ochretiller.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import ochretiller.admission.AdmissionController;
import ochretiller.model.CallOutcome;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.model.TenantId;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;

/**
 * One server's end of the wire: what it hears goes to its decisions, what they do is written down.
 */
final class SimulatedServer implements ServerActions {
    private final String name;
    private final StringBuilder out;
    private final Duration start;
    private final Map<String, Operation> operations;
    private final boolean passesDeadline;
    private final AdmissionController choice;
    private final Map<InvocationId, Function<RunOutcome, Action>> runs = new HashMap<>();
    private final Map<InvocationId, Function<CallOutcome, Action>> calls = new HashMap<>();
    private final Map<Long, Function<ResourceGauges, Action>> timers = new HashMap<>();
    private Duration now = Duration.ZERO;
    private long timerNames;

    SimulatedServer(String name, WireFields settings, Duration start, StringBuilder out) {
        this.name = name;
        this.out = out;
        this.start = start;
        operations = Settings.operations(settings);
        passesDeadline = settings.flag("familyInfo.passesDeadline");
        choice =
                Settings.admissionController(
                        settings,
                        new SplittableRandom(settings.wholeNumber("prng")),
                        settings.flag("familyInfo.justStarted"));
        choice.onStarted().execute(this);
    }

    void handleEvent(String event, WireFields fields, Duration clock) {
        now = clock.minus(start);
        Action step =
                switch (event) {
                    case "arrival" -> choice.onInvocationReceived(invocation(fields));
                    case "abandoned" -> choice.onClientGone(id(fields));
                    case "blocked" -> choice.onCallRequested(id(fields));
                    case "drain" ->
                            choice.onShutdownNotice(
                                    now.plus(fields.duration("timeBudgetNs", Duration.ZERO)));
                    case "run_over" ->
                            next(
                                    runs.remove(id(fields)),
                                    new RunOutcome(runResult(fields.text("how")), took(fields)));
                    case "call_ended" ->
                            next(
                                    calls.remove(id(fields)),
                                    new CallOutcome(callResult(fields.text("how")), took(fields)));
                    case "timeout_fired" ->
                            next(
                                    timers.remove(fields.wholeNumber("name")),
                                    gauges(fields.text("serverStats", "")));
                    default -> throw new MalformedException("unknown event " + event);
                };
        step.execute(this);
    }

    /** The outcome of something that is already over has nobody waiting for it. */
    private static <T> Action next(Function<T, Action> then, T result) {
        return then == null ? Action.NONE : then.apply(result);
    }

    private static InvocationId id(WireFields fields) {
        return new InvocationId(fields.wholeNumber("msgId"));
    }

    private static Duration took(WireFields fields) {
        return fields.duration("timeTakenNs", Duration.ZERO);
    }

    private Invocation invocation(WireFields fields) {
        Operation operation = operations.get(fields.text("kind"));
        if (operation == null) {
            throw new MalformedException("unknown kind '" + fields.text("kind") + "'");
        }
        long prior = fields.wholeNumber("prior", 0);
        Duration arrived = now.minus(fields.duration("ageNs", Duration.ZERO));
        Duration left = fields.duration("timeBudgetNs", Duration.ZERO);
        boolean told = passesDeadline && !left.isZero();
        Duration due = told ? now.plus(left) : arrived.plus(operation.clientTimeout());
        String tenant = fields.text("team", "0");
        return new Invocation(
                id(fields),
                prior == 0 ? null : new InvocationId(prior),
                operation,
                fields.number("sizeKb", 0),
                arrived,
                due,
                fields.duration("workHintNs", null),
                new ClientId(fields.wholeNumber("srcPeer", 0)),
                tenant.equals("0") ? null : new TenantId(tenant),
                fields.flag("resent"));
    }

    private static ResourceGauges gauges(String text) {
        WireFields fields = WireFields.parseGauges(text);
        return new ResourceGauges(
                fields.number("core_use", Double.NaN),
                fields.number("on_cores", Double.NaN),
                fields.number("heap_share", Double.NaN),
                fields.number("links", Double.NaN));
    }

    private static RunOutcome.Status runResult(String how) {
        return switch (how) {
            case "GOOD" -> RunOutcome.Status.SUCCEEDED;
            case "BAD" -> RunOutcome.Status.FAILED;
            case "CXL" -> RunOutcome.Status.STOPPED;
            case "NOP" -> RunOutcome.Status.NEVER_STARTED;
            default -> throw new MalformedException("unknown ending of a run '" + how + "'");
        };
    }

    private static CallOutcome.Status callResult(String how) {
        return switch (how) {
            case "GOOD" -> CallOutcome.Status.SUCCEEDED;
            case "BAD" -> CallOutcome.Status.FAILED;
            case "LATE" -> CallOutcome.Status.TIMED_OUT;
            case "RST", "CXL" -> CallOutcome.Status.RESET;
            case "FULL" -> CallOutcome.Status.REJECTED;
            case "NOCONN", "NOP" -> CallOutcome.Status.UNREACHABLE;
            default -> throw new MalformedException("unknown ending of a call '" + how + "'");
        };
    }

    private StringBuilder write(String action) {
        return out.append(action).append("\tserverId=").append(name);
    }

    private StringBuilder write(String action, InvocationId id) {
        return write(action).append("\tmsgId=").append(id.value());
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> then) {
        runs.put(id, then);
        write("start", id).append('\n');
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> then) {
        runs.put(id, then);
        write("echo", id).append('\n');
    }

    @Override
    public void throttle(InvocationId id, Duration retryIn, boolean last) {
        write("overload_reply", id);
        if (!retryIn.isZero()) {
            out.append("\tretryInNs=").append(retryIn.toNanos());
        }
        out.append(last ? "\tlast=1\n" : "\n");
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
    public void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then) {
        calls.put(id, then);
        write("ask_below", id).append("\tpatienceNs=").append(patience.toNanos()).append('\n');
    }

    @Override
    public void skipCall(InvocationId id) {
        write("fall_back", id).append('\n');
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration span) {
        write("store_key", id).append("\tspanNs=").append(span.toNanos()).append('\n');
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        write("erase", id).append('\n');
    }

    @Override
    public void schedule(Duration span, Function<ResourceGauges, Action> then) {
        timers.put(++timerNames, then);
        write("defer")
                .append("\toffsetNs=")
                .append(span.toNanos())
                .append("\tname=")
                .append(timerNames)
                .append('\n');
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        write("set_health")
                .append("\tactive=")
                .append(good ? 1 : 0)
                .append("\tstored=")
                .append(stored ? 1 : 0)
                .append('\n');
    }

    @Override
    public void advertiseCapacity(double value) {
        write("advertise").append("\tlevel=").append(value).append('\n');
    }

    @Override
    public void setIdleTimeout(Duration span) {
        write("keepalive").append("\tspanNs=").append(span.toNanos()).append('\n');
    }

    @Override
    public void logNote(String text) {
        write("note_down").append("\tnoteText=").append(text).append('\n');
    }
}
