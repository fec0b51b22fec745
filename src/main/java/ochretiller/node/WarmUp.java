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
import ochretiller.text.Frames;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/**
 * Invocations that nobody sent, through decisions that are thrown away: guards against a fresh
 * server whose first seconds go into linking and compiling what it then needs at once. It is done
 * before the server listens.
 */
final class WarmUp implements ServerActions {
    private static final Duration RUN = Duration.ofMillis(20);
    private static final String MESSAGE =
            "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"any\",\"params\":{\"rid\":\"9b1f03aa5c7e2d41\",\"t0\":1764576000123,\"peer\":4,\"mem\":24.5,\"prio\":0.6250,\"data\":\"Z29vZA==\"}}\n";
    private static final String NOTICE = "complete 7 9b1f03aa5c7e2d41 complete 12.5 4\r\ngood\r\n";

    private final AdmissionController choice;
    private final Frames messages = new Frames(MESSAGE.length(), false, line -> Frames.NONE);
    private final Frames notices =
            new Frames(NOTICE.length(), true, line -> Integer.parseInt(line.words().get(5)));
    private final PriorityQueue<Later> later = new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
    private Duration now = Duration.ofSeconds(1);
    int finishedRuns;

    private record Later(Duration at, Runnable work) {}

    WarmUp(AdmissionController choice) {
        this.choice = choice;
    }

    /** So many of each operation. */
    void simulate(List<Operation> operations, int rounds) {
        choice.onStarted().execute(this);
        long id = 0;
        for (int round = 0; round < rounds; round++) {
            for (Operation operation : operations) {
                Slice message = Slice.of(MESSAGE);
                messages.read(
                        message.bytes(),
                        message.from(),
                        message.to(),
                        (line, body) -> new Json(line).read());
                Slice notice = Slice.of(NOTICE);
                notices.read(
                        notice.bytes(), notice.from(), notice.to(), (line, body) -> body.copy());
                Duration due = now.plus(operation.clientTimeout());
                choice.onInvocationReceived(
                                new Invocation(
                                        new InvocationId(++id),
                                        null,
                                        operation,
                                        1,
                                        now,
                                        due,
                                        null,
                                        new ClientId(id % 4),
                                        null,
                                        false))
                        .execute(this);
                until(now.plus(RUN.dividedBy(5)));
            }
        }
        until(now.plusSeconds(1));
    }

    private void until(Duration end) {
        while (!later.isEmpty() && later.peek().at.compareTo(end) <= 0) {
            now = later.peek().at;
            later.poll().work.run();
        }
        now = end;
    }

    private void in(Duration span, Runnable work) {
        later.add(new Later(now.plus(span), work));
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> then) {
        in(RUN.dividedBy(2), () -> choice.onCallRequested(id).execute(this));
        in(
                RUN,
                () -> {
                    finishedRuns++;
                    then.apply(new RunOutcome(RunOutcome.Status.SUCCEEDED, RUN)).execute(this);
                });
    }

    @Override
    public void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then) {
        in(
                RUN.dividedBy(4),
                () ->
                        then.apply(new CallOutcome(CallOutcome.Status.SUCCEEDED, RUN.dividedBy(4)))
                                .execute(this));
    }

    @Override
    public void schedule(Duration span, Function<ResourceGauges, Action> then) {
        in(span, () -> then.apply(new ResourceGauges(0.5, 1, 0.1, 1)).execute(this));
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> then) {
        // none repeats another
    }

    @Override
    public void throttle(InvocationId id, Duration retryIn, boolean last) {
        // nobody asked
    }

    @Override
    public void fail(InvocationId id) {
        // nobody asked
    }

    @Override
    public void stopRun(InvocationId id) {
        // runs end by themselves
    }

    @Override
    public void skipCall(InvocationId id) {
        // calls succeed
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration span) {
        // nothing is stored
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        // nothing is stored
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        // nobody asked
    }

    @Override
    public void advertiseCapacity(double value) {
        // nobody asked
    }

    @Override
    public void setIdleTimeout(Duration span) {
        // nobody is connected
    }

    @Override
    public void logNote(String text) {
        // nobody reads it
    }
}
