package ochretiller.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import ochretiller.model.CallEnd;
import ochretiller.model.CallerId;
import ochretiller.model.Gauges;
import ochretiller.model.InvId;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;
import ochretiller.model.TenantId;
import ochretiller.policy.Choice;
import ochretiller.server.Server;
import ochretiller.server.Step;
import ochretiller.settings.MalformedException;
import ochretiller.settings.Settings;

/**
 * One server's end of the wire: what it hears goes to its decisions, what they do is written down.
 */
final class Instance implements Server {
    private final String name;
    private final StringBuilder out;
    private final Duration start;
    private final Map<String, Operation> operations;
    private final boolean passesDeadline;
    private final Choice choice;
    private final Map<InvId, Function<RunEnd, Step>> runs = new HashMap<>();
    private final Map<InvId, Function<CallEnd, Step>> calls = new HashMap<>();
    private final Map<Long, Function<Gauges, Step>> timers = new HashMap<>();
    private Duration now = Duration.ZERO;
    private long timerNames;

    Instance(String name, Fields settings, Duration start, StringBuilder out) {
        this.name = name;
        this.out = out;
        this.start = start;
        operations = Settings.operations(settings);
        passesDeadline = settings.flag("familyInfo.passesDeadline");
        choice =
                Settings.choice(
                        settings,
                        new SplittableRandom(settings.whole("prng")),
                        settings.flag("familyInfo.justStarted"));
        choice.started().act(this);
    }

    void happened(String event, Fields fields, Duration clock) {
        now = clock.minus(start);
        Step step =
                switch (event) {
                    case "arrival" -> choice.arrived(invocation(fields));
                    case "abandoned" -> choice.gone(id(fields));
                    case "blocked" -> choice.blocked(id(fields));
                    case "drain" ->
                            choice.leave(now.plus(fields.span("timeBudgetNs", Duration.ZERO)));
                    case "run_over" ->
                            next(
                                    runs.remove(id(fields)),
                                    new RunEnd(runResult(fields.text("how")), took(fields)));
                    case "call_ended" ->
                            next(
                                    calls.remove(id(fields)),
                                    new CallEnd(callResult(fields.text("how")), took(fields)));
                    case "timeout_fired" ->
                            next(
                                    timers.remove(fields.whole("name")),
                                    gauges(fields.text("serverStats", "")));
                    default -> throw new MalformedException("unknown event " + event);
                };
        step.act(this);
    }

    /** The outcome of something that is already over has nobody waiting for it. */
    private static <T> Step next(Function<T, Step> then, T result) {
        return then == null ? Step.NONE : then.apply(result);
    }

    private static InvId id(Fields fields) {
        return new InvId(fields.whole("msgId"));
    }

    private static Duration took(Fields fields) {
        return fields.span("timeTakenNs", Duration.ZERO);
    }

    private Invocation invocation(Fields fields) {
        Operation operation = operations.get(fields.text("kind"));
        if (operation == null) {
            throw new MalformedException("unknown kind '" + fields.text("kind") + "'");
        }
        long prior = fields.whole("prior", 0);
        Duration arrived = now.minus(fields.span("ageNs", Duration.ZERO));
        Duration left = fields.span("timeBudgetNs", Duration.ZERO);
        boolean told = passesDeadline && !left.isZero();
        Duration due = told ? now.plus(left) : arrived.plus(operation.clientTimeout());
        String tenant = fields.text("team", "0");
        return new Invocation(
                id(fields),
                prior == 0 ? null : new InvId(prior),
                operation,
                fields.number("sizeKb", 0),
                arrived,
                due,
                fields.span("workHintNs", null),
                new CallerId(fields.whole("srcPeer", 0)),
                tenant.equals("0") ? null : new TenantId(tenant),
                fields.flag("resent"));
    }

    private static Gauges gauges(String text) {
        Fields fields = Fields.ofGauges(text);
        return new Gauges(
                fields.number("core_use", Double.NaN),
                fields.number("on_cores", Double.NaN),
                fields.number("heap_share", Double.NaN),
                fields.number("links", Double.NaN));
    }

    private static RunEnd.Result runResult(String how) {
        return switch (how) {
            case "GOOD" -> RunEnd.Result.SUCCEEDED;
            case "BAD" -> RunEnd.Result.ERRORED;
            case "CXL" -> RunEnd.Result.STOPPED;
            case "NOP" -> RunEnd.Result.NOTHING;
            default -> throw new MalformedException("unknown ending of a run '" + how + "'");
        };
    }

    private static CallEnd.Result callResult(String how) {
        return switch (how) {
            case "GOOD" -> CallEnd.Result.SUCCEEDED;
            case "BAD" -> CallEnd.Result.ERRORED;
            case "LATE" -> CallEnd.Result.TIMED_OUT;
            case "RST", "CXL" -> CallEnd.Result.RESET;
            case "FULL" -> CallEnd.Result.TURNED_AWAY;
            case "NOCONN", "NOP" -> CallEnd.Result.NOT_REACHED;
            default -> throw new MalformedException("unknown ending of a call '" + how + "'");
        };
    }

    private StringBuilder write(String action) {
        return out.append(action).append("\tserverId=").append(name);
    }

    private StringBuilder write(String action, InvId id) {
        return write(action).append("\tmsgId=").append(id.value());
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void run(InvId id, Function<RunEnd, Step> then) {
        runs.put(id, then);
        write("start", id).append('\n');
    }

    @Override
    public void replay(InvId id, Function<RunEnd, Step> then) {
        runs.put(id, then);
        write("echo", id).append('\n');
    }

    @Override
    public void throttle(InvId id, Duration retryIn, boolean last) {
        write("overload_reply", id);
        if (!retryIn.isZero()) {
            out.append("\tretryInNs=").append(retryIn.toNanos());
        }
        out.append(last ? "\tlast=1\n" : "\n");
    }

    @Override
    public void fail(InvId id) {
        write("fail", id).append('\n');
    }

    @Override
    public void stop(InvId id) {
        write("preempt", id).append('\n');
    }

    @Override
    public void call(InvId id, Duration patience, Function<CallEnd, Step> then) {
        calls.put(id, then);
        write("ask_below", id).append("\tpatienceNs=").append(patience.toNanos()).append('\n');
    }

    @Override
    public void skipCall(InvId id) {
        write("fall_back", id).append('\n');
    }

    @Override
    public void keep(InvId id, Duration span) {
        write("store_key", id).append("\tspanNs=").append(span.toNanos()).append('\n');
    }

    @Override
    public void erase(InvId id) {
        write("erase", id).append('\n');
    }

    @Override
    public void after(Duration span, Function<Gauges, Step> then) {
        timers.put(++timerNames, then);
        write("defer")
                .append("\toffsetNs=")
                .append(span.toNanos())
                .append("\tname=")
                .append(timerNames)
                .append('\n');
    }

    @Override
    public void health(boolean good, boolean stored) {
        write("set_health")
                .append("\tactive=")
                .append(good ? 1 : 0)
                .append("\tstored=")
                .append(stored ? 1 : 0)
                .append('\n');
    }

    @Override
    public void advertise(double value) {
        write("advertise").append("\tlevel=").append(value).append('\n');
    }

    @Override
    public void idleAfter(Duration span) {
        write("keepalive").append("\tspanNs=").append(span.toNanos()).append('\n');
    }

    @Override
    public void note(String text) {
        write("note_down").append("\tnoteText=").append(text).append('\n');
    }
}
