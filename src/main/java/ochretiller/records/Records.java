package ochretiller.records;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.model.CallEnd;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Network;
import ochretiller.net.Receiver;
import ochretiller.net.Schedule;
import ochretiller.text.BadInputException;
import ochretiller.text.Frames;
import ochretiller.text.Slice;

/** Calls go over one connection, made when it is needed and closed before the records service would close it. */
public final class Records {
    private static final int LONGEST = 64 * 1024;
    /** The service closes a connection after 10 s; a call must not cross that. */
    private static final Duration IDLE = Duration.ofSeconds(7);
    private static final Duration SWEEP = Duration.ofSeconds(1);

    private final Schedule schedule;
    private final Network network;
    private final InetSocketAddress address;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final List<Call> unsent = new ArrayList<>();
    private Connection connection;
    private boolean connecting;

    /** What is told of the end of a call; the reply has no bytes unless it succeeded. */
    @FunctionalInterface
    public interface EndOfCall {
        void ended(CallEnd end, byte[] reply);
    }

    private record Call(String rid, Duration patience, byte[] body, Duration madeAt, EndOfCall then) {
    }

    public Records(Schedule schedule, Network network, InetSocketAddress address) {
        this.schedule = schedule;
        this.network = network;
        this.address = address;
        schedule.after(SWEEP, this::sweep);
    }

    public void call(String rid, Duration patience, byte[] body, EndOfCall then) {
        Call call = new Call(rid, patience, body, schedule.now(), then);
        calls.put(rid, call);
        schedule.after(patience, () -> {
            if (calls.get(rid) == call) giveUp(call);
        });
        if (connection != null) {
            send(call);
            return;
        }
        unsent.add(call);
        if (!connecting) {
            connecting = true;
            network.connect(address, End::new, this::refused);
        }
    }

    private void send(Call call) {
        long wait = Math.max(1, call.patience.minus(schedule.now().minus(call.madeAt)).toMillis());
        connection.write("OP " + call.rid + ' ' + wait + ' ' + call.body.length + "\r\n");
        connection.write(call.body).write("\r\n");
        connection.used(schedule.now());
    }

    private void giveUp(Call call) {
        // What was not even written is known not to have run.
        boolean never = unsent.contains(call);
        abandon(call.rid);
        end(call, never ? CallEnd.Result.NOT_REACHED : CallEnd.Result.TIMED_OUT, new byte[0]);
    }

    /** The run that made the call is over: nobody waits for it any more. */
    public void abandon(String rid) {
        Call call = calls.remove(rid);
        if (call != null && !unsent.remove(call) && connection != null) connection.write("UNOP " + rid + "\r\n");
    }

    private void end(Call call, CallEnd.Result result, byte[] reply) {
        calls.remove(call.rid, call);
        call.then.ended(new CallEnd(result, schedule.now().minus(call.madeAt)), reply);
    }

    /** A connection that was never made proves that no call ran. */
    private void refused() {
        connecting = false;
        List<Call> none = new ArrayList<>(unsent);
        unsent.clear();
        none.forEach(call -> end(call, CallEnd.Result.NOT_REACHED, new byte[0]));
    }

    private void sweep() {
        schedule.after(SWEEP, this::sweep);
        if (connection != null && calls.isEmpty() && schedule.now().minus(connection.usedAt()).compareTo(IDLE) > 0) {
            Connection idle = connection;
            connection = null;
            idle.close(CloseCode.IDLE);
        }
    }

    public void close() {
        if (connection != null) connection.close(CloseCode.LEAVING);
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        if (words.size() != 3 || !words.get(1).equals("DONE")) return Frames.NONE;
        try {
            int length = Integer.parseInt(words.get(2));
            if (length >= 0) return length;
        } catch (NumberFormatException e) {
            // told below, as a negative one is
        }
        throw new BadInputException("no length: '" + words.get(2) + "'");
    }

    private static CallEnd.Result result(String word) {
        return switch (word) {
            case "DONE" -> CallEnd.Result.SUCCEEDED;
            case "WAIT" -> CallEnd.Result.TURNED_AWAY;
            case "ERROR" -> CallEnd.Result.ERRORED;
            case "PAST" -> CallEnd.Result.TIMED_OUT;
            case "EMPTY" -> CallEnd.Result.NOT_REACHED;
            default -> throw new BadInputException("unknown reply '" + word + "'");
        };
    }

    /** One connection, from its making to its end. */
    private final class End implements Receiver {
        private final Connection mine;
        private final Frames frames = new Frames(LONGEST, true, Records::bodyLength);

        End(Connection mine) {
            this.mine = mine;
            schedule.post(this::opened);
        }

        private void opened() {
            connecting = false;
            if (!mine.open()) {
                refused(); // nothing was written on it
                return;
            }
            connection = mine;
            mine.used(schedule.now());
            List<Call> first = new ArrayList<>(unsent);
            unsent.clear();
            first.forEach(Records.this::send);
        }

        @Override
        public Runnable received(byte[] bytes, int from, int to) {
            List<Runnable> work = new ArrayList<>();
            frames.read(bytes, from, to, (line, body) -> {
                List<String> words = line.words();
                if (words.size() < 2) throw new BadInputException("no reply: '" + line.text() + "'");
                CallEnd.Result result = result(words.get(1));
                byte[] reply = body.copy(); // it may have to be said again on another link
                work.add(() -> {
                    Call call = calls.get(words.get(0));
                    if (call != null) end(call, result, reply);
                });
            });
            return () -> work.forEach(Runnable::run);
        }

        @Override
        public void inputEnded() {
            mine.drop(CloseCode.PEER_CLOSED);
        }

        @Override
        public void ended(CloseCode code) {
            if (connection != mine) return;
            connection = null;
            // Each call that was written may have run; those that were not go with the next connection.
            for (Call call : new ArrayList<>(calls.values())) {
                if (!unsent.contains(call)) end(call, CallEnd.Result.RESET, new byte[0]);
            }
        }
    }
}
