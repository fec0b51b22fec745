package ochretiller.records;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import ochretiller.model.CallOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.text.BadInputException;
import ochretiller.text.Frames;
import ochretiller.text.Slice;

/**
 * Calls go over connections that are made when they are needed, one call at a time on each: what
 * spoils one reply spoils no other. The one that was used last is used next, and one that stands
 * idle is closed before it can be forgotten.
 */
public final class RecordsClient {
    private static final int LONGEST = 64 * 1024;

    /**
     * The service closes a connection after 10 s, and some far sooner; a call must not cross that.
     */
    private static final Duration IDLE = Duration.ofMillis(500);

    private static final Duration SWEEP = Duration.ofMillis(100);

    private final Scheduler schedule;
    private final Network network;
    private final int most;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Set<Call> unsent = new LinkedHashSet<>();
    private final Set<End> ends = new LinkedHashSet<>();
    private final Deque<End> idle = new ArrayDeque<>();
    private InetSocketAddress address;

    /**
     * Connections being made to the present address; the age tells them from those to former ones.
     */
    private int connecting;

    private long age;

    /** What is told of the end of a call; the reply has no bytes unless it succeeded. */
    @FunctionalInterface
    public interface EndOfCall {
        void ended(CallOutcome end, byte[] reply);
    }

    private static final class Call {
        final String rid;
        final Duration patience;
        final byte[] body;
        final Duration madeAt;
        final EndOfCall then;

        /** Where it was written, or null. */
        End on;

        Call(String rid, Duration patience, byte[] body, Duration madeAt, EndOfCall then) {
            this.rid = rid;
            this.patience = patience;
            this.body = body;
            this.madeAt = madeAt;
            this.then = then;
        }
    }

    /**
     * No connection is made yet.
     *
     * @param address where the service is, or null where there is none
     * @param most connections that may be open at once; calls beyond them wait for one
     */
    public RecordsClient(Scheduler schedule, Network network, InetSocketAddress address, int most) {
        this.schedule = schedule;
        this.network = network;
        this.address = address;
        this.most = most;
        schedule.after(SWEEP, this::sweep);
    }

    public void call(String rid, Duration patience, byte[] body, EndOfCall then) {
        Call call = new Call(rid, patience, body, schedule.now(), then);
        calls.put(rid, call);
        unsent.add(call);
        schedule.after(
                patience,
                () -> {
                    if (calls.get(rid) == call) {
                        giveUp(call);
                    }
                });
        next();
    }

    /**
     * The service goes on at another address: calls that were written may end where they are, no
     * other follows them.
     */
    public void move(InetSocketAddress to) {
        if (Objects.equals(to, address)) {
            return;
        }
        address = to;
        // Guards against calls that wait for connections to where nobody is any more.
        age++;
        connecting = 0;
        for (End end : new ArrayList<>(idle)) {
            end.leave(CloseCode.MOVED);
        }
        next();
    }

    /** Gives idle connections to calls that wait, and makes more where there are too few. */
    private void next() {
        if (address == null) {
            schedule.post(this::notReached); // there is no such service: no call ran
            return;
        }
        while (!unsent.isEmpty() && !idle.isEmpty()) {
            idle.poll().send(unsent.iterator().next());
        }
        while (connecting < unsent.size() && ends.size() + connecting < most) {
            connecting++;
            InetSocketAddress to = address;
            long mine = age;
            network.connect(
                    to,
                    made -> new End(made, to, mine),
                    () -> {
                        if (mine == age) {
                            refused();
                        }
                    });
        }
    }

    private void giveUp(Call call) {
        // What was not even written is known not to have run.
        boolean never = call.on == null;
        abandon(call.rid);
        end(
                call,
                never ? CallOutcome.Status.UNREACHABLE : CallOutcome.Status.TIMED_OUT,
                new byte[0]);
    }

    /** The run that made the call is over: nobody waits for it any more. */
    public void abandon(String rid) {
        Call call = calls.remove(rid);
        if (call == null || unsent.remove(call)) {
            return;
        }
        // Guards against the next call on a connection whose reply never came, or comes late.
        call.on.mine.write("UNOP " + rid + "\r\n");
        call.on.leave(CloseCode.GIVEN_UP);
    }

    private void end(Call call, CallOutcome.Status result, byte[] reply) {
        calls.remove(call.rid, call);
        call.then.ended(new CallOutcome(result, schedule.now().minus(call.madeAt)), reply);
    }

    private void refused() {
        connecting--;
        notReached();
    }

    /** A connection that was never made proves that no call ran. */
    private void notReached() {
        List<Call> none = new ArrayList<>(unsent);
        unsent.clear();
        none.forEach(call -> end(call, CallOutcome.Status.UNREACHABLE, new byte[0]));
    }

    private void sweep() {
        schedule.after(SWEEP, this::sweep);
        while (!idle.isEmpty()
                && schedule.now().minus(idle.peekLast().mine.usedAt()).compareTo(IDLE) > 0) {
            idle.peekLast().leave(CloseCode.IDLE);
        }
    }

    public void close() {
        for (End end : new ArrayList<>(ends)) {
            end.leave(CloseCode.LEAVING);
        }
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        if (words.size() != 3 || !words.get(1).equals("DONE")) {
            return Frames.NONE;
        }
        try {
            int length = Integer.parseInt(words.get(2));
            if (length >= 0) {
                return length;
            }
        } catch (NumberFormatException e) {
            // told below, as a negative one is
        }
        throw new BadInputException("no length: '" + words.get(2) + "'");
    }

    private static CallOutcome.Status result(String word) {
        return switch (word) {
            case "DONE" -> CallOutcome.Status.SUCCEEDED;
            case "WAIT" -> CallOutcome.Status.REJECTED;
            case "ERROR" -> CallOutcome.Status.FAILED;
            case "PAST" -> CallOutcome.Status.TIMED_OUT;
            case "EMPTY" -> CallOutcome.Status.UNREACHABLE;
            default -> throw new BadInputException("unknown reply '" + word + "'");
        };
    }

    /** One connection, from its making to its end. */
    private final class End implements ConnectionHandler {
        private final Connection mine;
        private final InetSocketAddress to;
        private final long made;
        private final Frames frames = new Frames(LONGEST, true, RecordsClient::bodyLength);

        /** The call that was written on it and is not over. */
        private Call call;

        End(Connection mine, InetSocketAddress to, long made) {
            this.mine = mine;
            this.to = to;
            this.made = made;
            schedule.post(this::opened);
        }

        private void opened() {
            if (made == age) {
                connecting--;
            }
            if (!mine.open()) {
                if (made == age) {
                    notReached(); // nothing was written on it
                }
                return;
            }
            ends.add(this);
            free();
            next();
        }

        private void free() {
            call = null;
            if (to.equals(address)) {
                idle.push(this);
            } else {
                leave(CloseCode.MOVED);
            }
        }

        private void send(Call next) {
            unsent.remove(next);
            call = next;
            next.on = this;
            long wait =
                    Math.max(1, next.patience.minus(schedule.now().minus(next.madeAt)).toMillis());
            mine.write("OP " + next.rid + ' ' + wait + ' ' + next.body.length + "\r\n")
                    .write(next.body)
                    .write("\r\n");
            mine.used(schedule.now());
        }

        /** No call goes over it any more. */
        private void leave(CloseCode code) {
            ends.remove(this);
            idle.remove(this);
            mine.close(code);
        }

        @Override
        public Runnable received(byte[] bytes, int from, int to) {
            List<Runnable> work = new ArrayList<>();
            frames.read(
                    bytes,
                    from,
                    to,
                    (line, body) -> {
                        List<String> words = line.words();
                        if (words.size() < 2) {
                            throw new BadInputException("no reply: '" + line.text() + "'");
                        }
                        CallOutcome.Status result = result(words.get(1));
                        byte[] reply = body.copy(); // it may have to be said again on another link
                        work.add(() -> replied(words.get(0), result, reply));
                    });
            return () -> work.forEach(Runnable::run);
        }

        /** A second copy of a reply, or one to a call of another's, is passed over. */
        private void replied(String rid, CallOutcome.Status result, byte[] reply) {
            Call done = call;
            if (done == null || !done.rid.equals(rid) || calls.get(rid) != done) {
                return;
            }
            free();
            RecordsClient.this.end(done, result, reply);
            next();
        }

        @Override
        public void inputEnded() {
            mine.drop(CloseCode.PEER_CLOSED);
        }

        @Override
        public void ended(CloseCode code) {
            ends.remove(this);
            idle.remove(this);
            // What was written may have run; a connection that breaks proves nothing.
            if (call != null && calls.get(call.rid) == call) {
                RecordsClient.this.end(call, CallOutcome.Status.RESET, new byte[0]);
            }
            next();
        }
    }
}
