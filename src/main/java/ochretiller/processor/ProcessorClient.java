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
 * Maintains a connection to the processor. Runs survive a reconnect: the end of each is reported
 * once. Confined to the event loop.
 */
public final class ProcessorClient implements RunBackend {
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);

    /** Minimum interval between gauge requests; each reply covers half a second. */
    private static final Duration MIN_GAUGE_INTERVAL = Duration.ofMillis(80);

    private final Scheduler scheduler;
    private final Network network;
    private final GaugeDecoder gaugeDecoder;
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
     * Creates a client that is not connected.
     *
     * @param scheduler the event loop
     * @param network creates the connections
     * @param address the processor's address
     * @param gaugeNames the names of the gauges, in the order in which they are sent
     * @param onUp called on each connect with whether the processor was cold at its start, and the
     *     time since then
     * @param onCall called when a run makes a call, with the run's request id and the call's body
     */
    public ProcessorClient(
            Scheduler scheduler,
            Network network,
            InetSocketAddress address,
            List<String> gaugeNames,
            BiConsumer<Boolean, Duration> onUp,
            BiConsumer<String, byte[]> onCall) {
        this.scheduler = scheduler;
        this.network = network;
        this.address = address;
        this.gaugeDecoder = new GaugeDecoder(gaugeNames);
        this.onUp = onUp;
        this.onCall = onCall;
    }

    /** Connects, unless a connection to the current address exists or is being established. */
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
                established -> new ProcessorConnection(established, to, this, scheduler),
                () -> {
                    isConnecting = false;
                    scheduler.runAfter(RECONNECT_DELAY, this::connect);
                });
    }

    /**
     * Changes the processor's address. The old connection is used until the new one is established.
     *
     * @param newAddress the new address
     */
    public void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        connect();
    }

    /** Closes the connection permanently. */
    public void close() {
        isClosing = true;
        connection.ifPresent(current -> current.close(CloseCode.LEAVING));
    }

    /** Returns the processor's last gauges, or unknown ones if they are too old. */
    public ResourceGauges gauges() {
        return gaugeDecoder.gaugesAt(scheduler.now());
    }

    /** Requests new gauges, at most once in {@link #MIN_GAUGE_INTERVAL}. */
    public void requestGauges() {
        Duration sinceLast = scheduler.now().minus(gaugesRequestedAt);
        if (!isCaughtUp || sinceLast.compareTo(MIN_GAUGE_INTERVAL) < 0) {
            return;
        }
        gaugesRequestedAt = scheduler.now();
        readyConnection().ifPresent(current -> current.requestGauges("g" + ++lastTag));
    }

    /**
     * Starts a deep check, in which the processor does a small amount of work.
     *
     * @param callback receives whether the work was done; false at once if there is no connection
     */
    public void startDeepCheck(Consumer<Boolean> callback) {
        if (!isCaughtUp) {
            callback.accept(false);
            return;
        }
        String tag = "t" + ++lastTag;
        deepChecks.put(tag, callback);
        readyConnection().ifPresent(current -> current.startDeepCheck(tag));
    }

    @Override
    public void startRun(RunRequest request, RunListener listener) {
        ActiveRun run =
                ActiveRun.started(
                        request.requestId(),
                        request.operationName(),
                        request.body(),
                        request.isRetryable(),
                        listener);
        runs.put(run.requestId, run);
        readyConnection().ifPresent(current -> current.startRun(run));
    }

    /**
     * Resumes a run that a previous process has started. It is never started here; its end is
     * reported if the processor still knows the run.
     *
     * @param requestId the request id of the run
     * @param operation the name of its operation
     * @param listener receives the end of the run
     */
    public void resumeRun(String requestId, String operation, RunListener listener) {
        runs.put(requestId, ActiveRun.resumed(requestId, operation, listener));
    }

    @Override
    public void cancelRun(String requestId) {
        ActiveRun run = runs.get(requestId);
        if (run == null) {
            return;
        }
        run.isCancelled = true;
        readyConnection().ifPresent(current -> current.cancelRun(requestId));
    }

    /**
     * Sends the reply to the call that a run waits for; does nothing if the run has ended.
     *
     * @param requestId the request id of the run
     * @param reply the reply's bytes
     */
    public void replyToCall(String requestId, byte[] reply) {
        ActiveRun run = runs.get(requestId);
        if (run == null) {
            return;
        }
        run.callReply = Optional.of(reply);
        readyConnection().ifPresent(current -> current.answerCall(requestId, reply));
    }

    /** Returns the connection for commands; empty until it has repeated all missed notices. */
    private Optional<ProcessorConnection> readyConnection() {
        return isCaughtUp ? connection : Optional.empty();
    }

    boolean isCurrent(ProcessorConnection candidate) {
        return connection.filter(current -> current == candidate).isPresent();
    }

    /** Called when a connection is established: it replaces the previous one. */
    void onConnected(ProcessorConnection established) {
        isConnecting = false;
        if (!established.isOpen()) {
            return; // onDisconnected is called next
        }
        if (isClosing) {
            established.close(CloseCode.LEAVING);
            return;
        }
        Optional<ProcessorConnection> old = connection;
        connection = Optional.of(established);
        onUnavailable();
        old.ifPresent(replaced -> replaced.drop(CloseCode.MOVED));
        established.requestNoticesAfter(notices.lastNumber());
        connect(); // the address may have changed in the meantime
    }

    void onDisconnected(ProcessorConnection closed) {
        if (isCurrent(closed)) {
            connection = Optional.empty();
            onUnavailable();
        }
        scheduler.runAfter(RECONNECT_DELAY, this::connect);
    }

    /** Suspends commands until a connection has caught up; fails the pending deep checks. */
    private void onUnavailable() {
        isCaughtUp = false;
        List<Consumer<Boolean>> failed = new ArrayList<>(deepChecks.values());
        deepChecks.clear();
        failed.forEach(listener -> listener.accept(false));
    }

    /** Records the number of a notice and returns whether the notice is new. */
    boolean isNewNotice(long number) {
        return notices.accept(number, isCaughtUp);
    }

    void onProcessorUp(boolean wasCold, Duration age) {
        onUp.accept(wasCold, age);
    }

    /** Called when all missed notices were repeated: repeats commands that may have been lost. */
    void onCaughtUp() {
        isCaughtUp = true;
        boolean lostNotices = notices.getAndClearGap();
        for (ActiveRun run : new ArrayList<>(runs.values())) {
            if (lostNotices && !run.isRetryable && !run.isResumed) {
                // Its end may be among the lost notices; a second run would repeat its effect.
                onRunFinished(run.requestId, RunOutcome.Status.FAILED, Duration.ZERO, null);
            } else {
                readyConnection().ifPresent(current -> repeatCommands(current, run));
            }
        }
    }

    private static void repeatCommands(ProcessorConnection current, ActiveRun run) {
        if (!run.isResumed) {
            current.startRun(run);
            run.callReply.ifPresent(reply -> current.answerCall(run.requestId, reply));
        }
        if (run.isCancelled) {
            current.cancelRun(run.requestId);
        }
    }

    void onRunFinished(
            String requestId, RunOutcome.Status status, Duration elapsed, byte[] result) {
        ActiveRun run = runs.remove(requestId);
        if (run != null) {
            run.finish(status, elapsed, result);
        }
    }

    /** Called when a run makes a call, which confirms receipt of the reply to the previous one. */
    void onCall(String requestId, byte[] body) {
        ActiveRun run = runs.get(requestId);
        if (run == null) {
            return;
        }
        run.callReply = Optional.empty();
        onCall.accept(requestId, body);
    }

    void onGauges(List<String> values) {
        gaugeDecoder.update(values, scheduler.now());
    }

    void onDeepCheckFinished(String tag, boolean succeeded) {
        Consumer<Boolean> listener = deepChecks.remove(tag);
        if (listener != null) {
            listener.accept(succeeded);
        }
    }
}
