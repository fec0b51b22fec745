package ochretiller.processor;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;
import ochretiller.text.BadInputException;
import ochretiller.text.Frames;
import ochretiller.text.Slice;

/**
 * Keeps a link to the processor, and tells each of its notices once and in order whatever becomes
 * of the link.
 */
public final class ProcessorClient implements RunBackend {
    private static final Logger LOG = Logger.getLogger(ProcessorClient.class.getName());
    private static final Duration AGAIN = Duration.ofMillis(100);

    /** Gauges are asked for at most so often: they look back half a second. */
    private static final Duration GAUGES = Duration.ofMillis(80);

    private static final int LONGEST = 64 * 1024;
    private static final String FENCE = "fence";

    private final Scheduler schedule;
    private final Network network;
    private InetSocketAddress address;
    private final GaugeDecoder gauging;
    private final BiConsumer<Boolean, Duration> up;
    private final BiConsumer<String, byte[]> asked;
    private final Map<String, ActiveRun> runs = new LinkedHashMap<>();
    private final Map<String, Consumer<Boolean>> trials = new LinkedHashMap<>();
    private Connection connection;
    private InetSocketAddress linkedTo;
    private boolean connecting;
    private boolean ready;
    private boolean closing;
    private long lastNotice;
    private boolean gap;
    private long tags;
    private Duration gaugesAskedAt = Duration.ZERO;

    /**
     * A link that is not connected yet.
     *
     * @param meters the names of the gauges, in the order in which they are told
     * @param up told once the processor is there: whether it was cold at its start, and how long
     *     ago that was
     * @param asked told of a run that waits for a call, with the call's body
     */
    public ProcessorClient(
            Scheduler schedule,
            Network network,
            InetSocketAddress address,
            List<String> meters,
            BiConsumer<Boolean, Duration> up,
            BiConsumer<String, byte[]> asked) {
        this.schedule = schedule;
        this.network = network;
        this.address = address;
        this.gauging = new GaugeDecoder(meters);
        this.up = up;
        this.asked = asked;
    }

    /** Connects, unless there is a link to this address or one is being made. */
    public void connect() {
        if (closing || connecting || connection != null && address.equals(linkedTo)) {
            return;
        }
        connecting = true;
        InetSocketAddress to = address;
        network.connect(
                to,
                made -> new End(made, to),
                () -> {
                    connecting = false;
                    schedule.after(AGAIN, this::connect);
                });
    }

    /** The processor goes on at another address: the old link is kept until there is one to it. */
    public void move(InetSocketAddress to) {
        address = to;
        connect();
    }

    public void close() {
        closing = true;
        if (connection != null) {
            connection.close(CloseCode.LEAVING);
        }
    }

    public ResourceGauges gauges() {
        return gauging.at(schedule.now());
    }

    /** Asks for gauges, unless that was done just now. */
    public void askGauges() {
        if (!ready || schedule.now().minus(gaugesAskedAt).compareTo(GAUGES) < 0) {
            return;
        }
        gaugesAskedAt = schedule.now();
        connection.write("usage g" + ++tags + "\r\n");
    }

    /** Does the work of a deep check; without a link none can be done. */
    public void trial(Consumer<Boolean> then) {
        if (!ready) {
            then.accept(false);
            return;
        }
        String tag = "t" + ++tags;
        trials.put(tag, then);
        connection.write("trial " + tag + "\r\n");
    }

    @Override
    public void startRun(RunRequest task, RunListener then) {
        ActiveRun run =
                new ActiveRun(
                        task.requestId(),
                        task.operationName(),
                        task.body(),
                        task.isRetryable(),
                        end -> then.onRunFinished(result(end.how()), end.took(), end.result()));
        runs.put(task.requestId(), run);
        if (ready) {
            begin(run);
        }
    }

    /** What the processor's word for an end says. */
    private static RunOutcome.Status result(String how) {
        return switch (how) {
            case "complete" -> RunOutcome.Status.SUCCEEDED;
            case "cancelled" -> RunOutcome.Status.STOPPED;
            case "unknown" -> RunOutcome.Status.NEVER_STARTED;
            default -> RunOutcome.Status.FAILED;
        };
    }

    /**
     * A run that a former process has begun, if the processor still knows it: its end is heard of,
     * and it is never begun.
     */
    public void adopt(String rid, String operation, RunListener then) {
        ActiveRun run =
                new ActiveRun(
                        rid,
                        operation,
                        new byte[0],
                        false,
                        end -> then.onRunFinished(result(end.how()), end.took(), end.result()));
        run.adopted = true;
        runs.put(rid, run);
    }

    private void begin(ActiveRun run) {
        counted("begin " + run.rid + ' ' + run.operation, run.body);
    }

    private void counted(String words, byte[] body) {
        connection.write(words + ' ' + body.length + "\r\n").write(body).write("\r\n");
    }

    @Override
    public void cancelRun(String rid) {
        ActiveRun run = runs.get(rid);
        if (run == null) {
            return;
        }
        run.stopped = true;
        if (ready) {
            connection.write("interrupt " + rid + "\r\n");
        }
    }

    /** The reply to the call that a run waits for. */
    public void answer(String rid, byte[] reply) {
        ActiveRun run = runs.get(rid);
        if (run == null) {
            return;
        }
        run.reply = reply;
        if (ready) {
            counted("answer " + rid, reply);
        }
    }

    /**
     * Nothing can be said until the next link has caught up; checks under way are told that no work
     * was done.
     */
    private void unlinked() {
        ready = false;
        List<Consumer<Boolean>> waiting = new ArrayList<>(trials.values());
        trials.clear();
        waiting.forEach(then -> then.accept(false));
    }

    /**
     * All notices that were missed have been told: what the old link may have lost is said again.
     */
    private void caughtUp() {
        ready = true;
        for (ActiveRun run : new ArrayList<>(runs.values())) {
            if (run.adopted) {
                if (run.stopped) {
                    connection.write("interrupt " + run.rid + "\r\n");
                }
                continue;
            }
            if (gap && !run.repeatable) {
                // Guards against a second effect: its end may have been among the notices that are
                // lost.
                runs.remove(run.rid);
                run.then.accept(new ActiveRun.End("error", Duration.ZERO, null));
                continue;
            }
            begin(run);
            if (run.reply != null) {
                counted("answer " + run.rid, run.reply);
            }
            if (run.stopped) {
                connection.write("interrupt " + run.rid + "\r\n");
            }
        }
        gap = false;
    }

    /**
     * True once for each number. One left out is asked for again by a new link; there, it is lost
     * for good.
     */
    private boolean isNew(long number) {
        if (number <= lastNotice) {
            return false;
        }
        if (number > lastNotice + 1) {
            if (ready) {
                throw new BadInputException("notice " + number + " behind " + lastNotice);
            }
            gap = true;
        }
        lastNotice = number;
        return true;
    }

    private static long number(String word) {
        try {
            long number = Long.parseLong(word);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, as a negative one is
        }
        throw new BadInputException("no number: '" + word + "'");
    }

    private static Duration span(String millis) {
        try {
            double value = Double.parseDouble(millis);
            if (value >= 0 && value < 1e12) {
                return Duration.ofNanos((long) (value * 1e6));
            }
        } catch (NumberFormatException e) {
            // told below, as one out of range is
        }
        throw new BadInputException("no time: '" + millis + "'");
    }

    private static int bodyLength(Slice line) {
        List<String> words = line.words();
        boolean counted =
                words.get(0).equals("complete") && words.size() == 6
                        || words.get(0).equals("ask") && words.size() == 4;
        if (!counted) {
            return Frames.NONE;
        }
        return (int) Math.min(number(words.get(words.size() - 1)), Integer.MAX_VALUE);
    }

    /** One link, from its connection to its end. */
    private final class End implements ConnectionHandler {
        private final Connection mine;
        private final InetSocketAddress to;
        private final Frames frames = new Frames(LONGEST, true, ProcessorClient::bodyLength);

        End(Connection mine, InetSocketAddress to) {
            this.mine = mine;
            this.to = to;
            schedule.post(this::opened);
        }

        private void opened() {
            connecting = false;
            if (!mine.open()) {
                return; // its end follows
            }
            if (closing) {
                mine.close(CloseCode.LEAVING);
                return;
            }
            Connection old = connection;
            connection = mine;
            linkedTo = to;
            unlinked();
            if (old != null) {
                old.drop(CloseCode.MOVED);
            }
            mine.write("hello " + lastNotice + "\r\n");
            connect(); // where the address has changed meanwhile
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
                        byte[] kept =
                                body.copy(); // results outlive the buffer: they wait for repeats
                        work.add(() -> notice(words, kept));
                    });
            return () -> {
                if (connection != mine) {
                    return;
                }
                try {
                    work.forEach(Runnable::run);
                } catch (BadInputException | IndexOutOfBoundsException | NumberFormatException e) {
                    LOG.warning("bad input from the processor: " + e.getMessage());
                    mine.drop(CloseCode.BAD_INPUT);
                }
            };
        }

        private void notice(List<String> words, byte[] body) {
            switch (words.get(0)) {
                case "hi" -> {
                    up.accept(words.get(1).equals("chilly"), span(words.get(2)));
                    mine.write("usage " + FENCE + "\r\n");
                }
                case "complete" -> {
                    if (isNew(number(words.get(1)))) {
                        ended(words.get(2), words.get(3), span(words.get(4)), body);
                    }
                }
                case "ask" -> {
                    if (isNew(number(words.get(1)))) {
                        call(words.get(2), body);
                    }
                }
                case "used" -> {
                    gauging.told(words.subList(2, words.size()), schedule.now());
                    if (words.get(1).equals(FENCE)) {
                        caughtUp();
                    }
                }
                case "tried" -> {
                    Consumer<Boolean> then = trials.remove(words.get(1));
                    if (then != null) {
                        then.accept(words.get(2).equals("complete"));
                    }
                }
                case "reject" -> rejected(words.get(1), words.get(2));
                case "remark" -> isNew(number(words.get(1)));
                default -> throw new BadInputException("unknown notice '" + words.get(0) + "'");
            }
        }

        private void ended(String rid, String how, Duration took, byte[] result) {
            ActiveRun run = runs.remove(rid);
            if (run != null) {
                run.then.accept(new ActiveRun.End(how, took, result));
            }
        }

        private void call(String rid, byte[] body) {
            ActiveRun run = runs.get(rid);
            if (run == null) {
                return;
            }
            run.reply = null;
            asked.accept(rid, body);
        }

        /**
         * A begin that is not carried out never ran; other commands may come too late and then do
         * nothing.
         */
        private void rejected(String command, String rid) {
            LOG.warning("the processor rejects " + command + " of " + rid);
            if (command.equals("begin")) {
                ended(rid, "unknown", Duration.ZERO, new byte[0]);
            }
        }

        @Override
        public void inputEnded() {
            mine.drop(CloseCode.PEER_CLOSED);
        }

        @Override
        public void ended(CloseCode code) {
            if (connection == mine) {
                connection = null;
                unlinked();
            }
            schedule.after(AGAIN, ProcessorClient.this::connect);
        }
    }
}
