package ochretiller.node;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Function;
import ochretiller.admission.AdmissionController;
import ochretiller.model.CallOutcome;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;
import ochretiller.text.FrameDecoder;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/**
 * Warms up the JVM before the server listens: sends simulated invocations through an admission
 * controller that is discarded afterwards. Without it a new server would spend its first seconds on
 * linking and compiling the code of the request path.
 */
final class WarmUp implements ServerActions {
    private static final Duration RUN_TIME = Duration.ofMillis(20);
    private static final Duration CALL_TIME = RUN_TIME.dividedBy(4);
    private static final Duration ARRIVAL_INTERVAL = RUN_TIME.dividedBy(5);
    private static final Duration FINAL_WAIT = Duration.ofSeconds(1);
    private static final int CLIENT_COUNT = 4;
    private static final ResourceGauges GAUGES = new ResourceGauges(0.5, 1, 0.1, 1);
    private static final String REQUEST =
            "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"any\",\"params\":{"
                    + "\"rid\":\"9b1f03aa5c7e2d41\",\"t0\":1764576000123,\"peer\":4,"
                    + "\"mem\":24.5,\"prio\":0.6250,\"data\":\"Z29vZA==\"}}\n";
    private static final String NOTICE = "complete 7 9b1f03aa5c7e2d41 complete 12.5 4\r\ngood\r\n";
    private static final int NOTICE_LENGTH_WORD_INDEX = 5;

    private final AdmissionController admission;
    private final FrameDecoder requests =
            new FrameDecoder(REQUEST.length(), false, line -> FrameDecoder.NO_BODY);
    private final FrameDecoder notices =
            new FrameDecoder(
                    NOTICE.length(),
                    true,
                    line -> Integer.parseInt(line.words().get(NOTICE_LENGTH_WORD_INDEX)));
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.dueAt.compareTo(b.dueAt));
    private Duration now = Duration.ofSeconds(1);
    private int finishedRuns;

    private record Timer(Duration dueAt, Runnable work) {}

    /**
     * Creates a warm-up.
     *
     * @param admission the controller, which must not be used afterwards
     */
    WarmUp(AdmissionController admission) {
        this.admission = admission;
    }

    /** Simulates {@code rounds} invocations of each operation. */
    void simulate(List<Operation> operations, int rounds) {
        admission.onStarted().execute(this);
        long id = 0;
        for (int round = 0; round < rounds; round++) {
            for (Operation operation : operations) {
                id++;
                decodeMessages();
                admission.onInvocationReceived(invocation(id, operation)).execute(this);
                advanceTo(now.plus(ARRIVAL_INTERVAL));
            }
        }
        advanceTo(now.plus(FINAL_WAIT));
    }

    int finishedRuns() {
        return finishedRuns;
    }

    private void decodeMessages() {
        Slice request = Slice.of(REQUEST);
        requests.decode(
                request.bytes(),
                request.from(),
                request.to(),
                (line, body) -> new Json(line).parse());
        Slice notice = Slice.of(NOTICE);
        notices.decode(notice.bytes(), notice.from(), notice.to(), (line, body) -> body.copy());
    }

    private Invocation invocation(long id, Operation operation) {
        Duration deadline = now.plus(operation.clientTimeout());
        ClientId client = new ClientId(id % CLIENT_COUNT);
        return new Invocation(
                new InvocationId(id), null, operation, 1, now, deadline, null, client, null, false);
    }

    private void advanceTo(Duration end) {
        while (!timers.isEmpty() && timers.peek().dueAt.compareTo(end) <= 0) {
            now = timers.peek().dueAt;
            timers.poll().work.run();
        }
        now = end;
    }

    private void after(Duration delay, Runnable work) {
        timers.add(new Timer(now.plus(delay), work));
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        after(RUN_TIME.dividedBy(2), () -> admission.onCallRequested(id).execute(this));
        after(
                RUN_TIME,
                () -> {
                    finishedRuns++;
                    onOutcome
                            .apply(new RunOutcome(RunOutcome.Status.SUCCEEDED, RUN_TIME))
                            .execute(this);
                });
    }

    @Override
    public void startCall(
            InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome) {
        CallOutcome outcome = new CallOutcome(CallOutcome.Status.SUCCEEDED, CALL_TIME);
        after(CALL_TIME, () -> onOutcome.apply(outcome).execute(this));
    }

    @Override
    public void schedule(Duration delay, Function<ResourceGauges, Action> onTimer) {
        after(delay, () -> onTimer.apply(GAUGES).execute(this));
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        // the simulation has no retries
    }

    @Override
    public void throttle(InvocationId id, Duration retryAfter, boolean isFinal) {
        // simulated clients read no answers
    }

    @Override
    public void fail(InvocationId id) {
        // simulated clients read no answers
    }

    @Override
    public void stopRun(InvocationId id) {
        // simulated runs always finish
    }

    @Override
    public void skipCall(InvocationId id) {
        // simulated calls always succeed
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration window) {
        // the simulation has no retries
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        // the simulation has no retries
    }

    @Override
    public void setHealth(boolean healthy, boolean answersDeepChecks) {
        // simulated invocations have no health checks
    }

    @Override
    public void advertiseCapacity(double value) {
        // no gateway is connected
    }

    @Override
    public void setIdleTimeout(Duration timeout) {
        // no gateway is connected
    }

    @Override
    public void logNote(String text) {
        // notes about simulated invocations are not logged
    }
}
