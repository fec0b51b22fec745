package ochretiller.node;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Function;
import ochretiller.model.CallEnd;
import ochretiller.model.CallerId;
import ochretiller.model.Gauges;
import ochretiller.model.InvId;
import ochretiller.model.Invocation;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;
import ochretiller.policy.Choice;
import ochretiller.server.Server;
import ochretiller.server.Step;
import ochretiller.text.Frames;
import ochretiller.text.Json;
import ochretiller.text.Slice;

/**
 * Invocations that nobody sent, through decisions that are thrown away: guards against a fresh
 * server whose first seconds go into linking and compiling what it then needs at once. It is done
 * before the server listens.
 */
final class WarmUp implements Server {
    private static final Duration RUN = Duration.ofMillis(20);
    private static final String MESSAGE =
            "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"any\",\"params\":{\"rid\":\"9b1f03aa5c7e2d41\",\"t0\":1764576000123,\"peer\":4,\"mem\":24.5,\"prio\":0.6250,\"data\":\"Z29vZA==\"}}\n";
    private static final String NOTICE = "complete 7 9b1f03aa5c7e2d41 complete 12.5 4\r\ngood\r\n";

    private final Choice choice;
    private final Frames messages = new Frames(MESSAGE.length(), false, line -> Frames.NONE);
    private final Frames notices =
            new Frames(NOTICE.length(), true, line -> Integer.parseInt(line.words().get(5)));
    private final PriorityQueue<Later> later = new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
    private Duration now = Duration.ofSeconds(1);
    int ended;

    private record Later(Duration at, Runnable work) {}

    WarmUp(Choice choice) {
        this.choice = choice;
    }

    /** So many of each operation. */
    void work(List<Operation> operations, int rounds) {
        choice.started().act(this);
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
                choice.arrived(
                                new Invocation(
                                        new InvId(++id),
                                        null,
                                        operation,
                                        1,
                                        now,
                                        due,
                                        null,
                                        new CallerId(id % 4),
                                        null,
                                        false))
                        .act(this);
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
    public void run(InvId id, Function<RunEnd, Step> then) {
        in(RUN.dividedBy(2), () -> choice.blocked(id).act(this));
        in(
                RUN,
                () -> {
                    ended++;
                    then.apply(new RunEnd(RunEnd.Result.SUCCEEDED, RUN)).act(this);
                });
    }

    @Override
    public void call(InvId id, Duration patience, Function<CallEnd, Step> then) {
        in(
                RUN.dividedBy(4),
                () ->
                        then.apply(new CallEnd(CallEnd.Result.SUCCEEDED, RUN.dividedBy(4)))
                                .act(this));
    }

    @Override
    public void after(Duration span, Function<Gauges, Step> then) {
        in(span, () -> then.apply(new Gauges(0.5, 1, 0.1, 1)).act(this));
    }

    @Override
    public void replay(InvId id, Function<RunEnd, Step> then) {
        // none repeats another
    }

    @Override
    public void throttle(InvId id, Duration retryIn, boolean last) {
        // nobody asked
    }

    @Override
    public void fail(InvId id) {
        // nobody asked
    }

    @Override
    public void stop(InvId id) {
        // runs end by themselves
    }

    @Override
    public void skipCall(InvId id) {
        // calls succeed
    }

    @Override
    public void keep(InvId id, Duration span) {
        // nothing is stored
    }

    @Override
    public void erase(InvId id) {
        // nothing is stored
    }

    @Override
    public void health(boolean good, boolean stored) {
        // nobody asked
    }

    @Override
    public void advertise(double value) {
        // nobody asked
    }

    @Override
    public void idleAfter(Duration span) {
        // nobody is connected
    }

    @Override
    public void note(String text) {
        // nobody reads it
    }
}
