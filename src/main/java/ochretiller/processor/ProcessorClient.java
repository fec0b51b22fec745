package ochretiller.processor;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;

/**
 * Keeps a connection to the processor. Runs survive a reconnect: the end of each is reported once.
 * Belongs to the event loop.
 */
public final class ProcessorClient implements RunBackend {
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);

    /** Least time between two requests for gauges, each of which covers half a second. */
    private static final Duration GAUGE_INTERVAL = Duration.ofMillis(80);

    private final Scheduler schedule;
    private final Network network;
    private final GaugeDecoder gauges;
    private final BiConsumer<Boolean, Duration> onUp;
    private final BiConsumer<String, byte[]> onCall;
    private final NoticeSequence notices = new NoticeSequence();
    private final Map<String, ActiveRun> runs = new LinkedHashMap<>();
    private final Map<String, Consumer<Boolean>> deepChecks = new LinkedHashMap<>();
    private InetSocketAddress address;
    private Optional<ProcessorConnection> connection = Optional.empty();
    private boolean isConnecting;
    private boolean isClosing;

    /** Whether the connection has repeated all missed notices, so that commands can be sent. */
    private boolean isCaughtUp;

    private long lastTag;
    private Duration gaugesRequestedAt = Duration.ZERO;

    /**
     * A client that is not connected yet.
     *
     * @param schedule the event loop
     * @param network makes the connections
     * @param address the processor's address
     * @param meters the names of the gauges, in the order in which they are sent
     * @param up told once the processor is there: whether it was cold at its start, and how long
     *     ago that was
     * @param asked told of a run that waits for a call: its request id and the call's body
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
        this.gauges = new GaugeDecoder(meters);
        this.onUp = up;
        this.onCall = asked;
    }

    /** Connects, unless a connection to the current address is there or being made. */
    public void connect() {
        boolean isConnected =
                connection.filter(current -> address.equals(current.address())).isPresent();
        if (isClosing || isConnecting || isConnected) {
            return;
        }
        isConnecting = true;
        InetSocketAddress to = address;
        network.connect(
                to,
                made -> new ProcessorConnection(made, to, this, schedule),
                () -> {
                    isConnecting = false;
                    schedule.after(RECONNECT_DELAY, this::connect);
                });
    }

    /**
     * Changes the processor's address. The old connection is used until there is a new one.
     *
     * @param to the new address
     */
    public void move(InetSocketAddress to) {
        address = to;
        connect();
    }

    /** Closes the connection for good. */
    public void close() {
        isClosing = true;
        connection.ifPresent(current -> current.close(CloseCode.LEAVING));
    }

    /** The processor's gauges, or unknown ones where those are too old. */
    public ResourceGauges gauges() {
        return gauges.gaugesAt(schedule.now());
    }

    /** Requests new gauges, unless that was done a moment ago. */
    public void askGauges() {
        Duration sinceLast = schedule.now().minus(gaugesRequestedAt);
        if (!isCaughtUp || sinceLast.compareTo(GAUGE_INTERVAL) < 0) {
            return;
        }
        gaugesRequestedAt = schedule.now();
        ready().ifPresent(current -> current.requestGauges("g" + ++lastTag));
    }

    /**
     * Starts a deep check, in which the processor does a piece of work.
     *
     * @param then told whether the work was done; at once where there is no connection
     */
    public void trial(Consumer<Boolean> then) {
        if (!isCaughtUp) {
            then.accept(false);
            return;
        }
        String tag = "t" + ++lastTag;
        deepChecks.put(tag, then);
        ready().ifPresent(current -> current.startDeepCheck(tag));
    }

    @Override
    public void startRun(RunRequest task, RunListener then) {
        ActiveRun run =
                ActiveRun.started(
                        task.requestId(),
                        task.operationName(),
                        task.body(),
                        task.isRetryable(),
                        then);
        runs.put(run.requestId, run);
        ready().ifPresent(current -> current.begin(run));
    }

    /**
     * Resumes a run that a previous process has started: its end is reported if the processor still
     * knows it, and it is never started here.
     *
     * @param rid its request id
     * @param operation the name of its operation
     * @param then told of its end
     */
    public void adopt(String rid, String operation, RunListener then) {
        runs.put(rid, ActiveRun.resumed(rid, operation, then));
    }

    @Override
    public void cancelRun(String rid) {
        ActiveRun run = runs.get(rid);
        if (run == null) {
            return;
        }
        run.isCancelled = true;
        ready().ifPresent(current -> current.interrupt(rid));
    }

    /**
     * Passes the reply to the call that a run waits for; ignored where the run is over.
     *
     * @param rid the run's request id
     * @param reply the reply's bytes
     */
    public void answer(String rid, byte[] reply) {
        ActiveRun run = runs.get(rid);
        if (run == null) {
            return;
        }
        run.callReply = Optional.of(reply);
        ready().ifPresent(current -> current.answerCall(rid, reply));
    }

    /** The connection that takes commands; empty until it has repeated the missed notices. */
    private Optional<ProcessorConnection> ready() {
        return isCaughtUp ? connection : Optional.empty();
    }

    boolean isCurrent(ProcessorConnection candidate) {
        return connection.filter(current -> current == candidate).isPresent();
    }

    /** A connection is established: it replaces the one before it. */
    void onConnected(ProcessorConnection made) {
        isConnecting = false;
        if (!made.isOpen()) {
            return; // its end is reported next
        }
        if (isClosing) {
            made.close(CloseCode.LEAVING);
            return;
        }
        Optional<ProcessorConnection> old = connection;
        connection = Optional.of(made);
        onUnavailable();
        old.ifPresent(replaced -> replaced.drop(CloseCode.MOVED));
        made.requestNoticesAfter(notices.last());
        connect(); // the address may have changed meanwhile
    }

    void onDisconnected(ProcessorConnection ended) {
        if (isCurrent(ended)) {
            connection = Optional.empty();
            onUnavailable();
        }
        schedule.after(RECONNECT_DELAY, this::connect);
    }

    /** No command can be sent until a connection has caught up; deep checks under way fail. */
    private void onUnavailable() {
        isCaughtUp = false;
        List<Consumer<Boolean>> failed = new ArrayList<>(deepChecks.values());
        deepChecks.clear();
        failed.forEach(listener -> listener.accept(false));
    }

    /** Whether the notice with this number is new, as {@link NoticeSequence#accept} says. */
    boolean isNewNotice(long number) {
        return notices.accept(number, isCaughtUp);
    }

    void onProcessorUp(boolean wasCold, Duration age) {
        onUp.accept(wasCold, age);
    }

    /** All missed notices were repeated: commands that may have been lost are sent again. */
    void onCaughtUp() {
        isCaughtUp = true;
        boolean lostNotices = notices.takeGap();
        for (ActiveRun run : new ArrayList<>(runs.values())) {
            if (lostNotices && !run.isRetryable && !run.isResumed) {
                // It may be over: its end may be among the lost notices, and a second run would
                // have a second effect.
                onRunFinished(run.requestId, RunOutcome.Status.FAILED, Duration.ZERO, null);
            } else {
                ready().ifPresent(current -> repeatCommands(current, run));
            }
        }
    }

    private static void repeatCommands(ProcessorConnection current, ActiveRun run) {
        if (!run.isResumed) {
            current.begin(run);
            run.callReply.ifPresent(reply -> current.answerCall(run.requestId, reply));
        }
        if (run.isCancelled) {
            current.interrupt(run.requestId);
        }
    }

    void onRunFinished(
            String requestId, RunOutcome.Status status, Duration elapsed, byte[] result) {
        ActiveRun run = runs.remove(requestId);
        if (run != null) {
            run.finish(status, elapsed, result);
        }
    }

    /** A run waits for a call, which shows that it has received the reply to the one before. */
    void onCall(String requestId, byte[] body) {
        ActiveRun run = runs.get(requestId);
        if (run == null) {
            return;
        }
        run.callReply = Optional.empty();
        onCall.accept(requestId, body);
    }

    void onGauges(List<String> values) {
        gauges.update(values, schedule.now());
    }

    void onDeepCheckFinished(String tag, boolean succeeded) {
        Consumer<Boolean> listener = deepChecks.remove(tag);
        if (listener != null) {
            listener.accept(succeeded);
        }
    }
}
