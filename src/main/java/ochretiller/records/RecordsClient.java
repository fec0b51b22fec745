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
import java.util.Optional;
import java.util.Set;
import ochretiller.model.CallOutcome;
import ochretiller.net.CloseCode;
import ochretiller.net.Network;
import ochretiller.net.Scheduler;

/**
 * Makes calls to the records service over a pool of connections. Connections are opened on demand
 * and carry one call at a time, so a broken connection affects only one call. The most recently
 * used connection is reused first, and idle ones are closed before the service closes them.
 * Confined to the event loop.
 */
public final class RecordsClient {
    /**
     * Shorter than the idle timeout of the service, so that no call is written to a connection that
     * the service is closing.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    private static final byte[] NO_REPLY = {};

    private final Scheduler scheduler;
    private final Network network;
    private final int maxConnections;
    private final Map<String, PendingCall> pendingCalls = new LinkedHashMap<>();
    private final Set<PendingCall> unsentCalls = new LinkedHashSet<>();
    private final Set<RecordsConnection> connections = new LinkedHashSet<>();

    /** Connections without a call, the most recently used first. */
    private final Deque<RecordsConnection> idleConnections = new ArrayDeque<>();

    private Optional<InetSocketAddress> address;

    /** The number of connects in progress to the current address. */
    private int connectCount;

    /** Incremented on each address change, to recognise connects to an earlier address. */
    private long generation;

    /**
     * Creates a client without connections.
     *
     * @param scheduler the event loop
     * @param network creates the connections
     * @param address the service's address, or null if there is no records service
     * @param maxConnections the maximum number of connections; further calls are queued
     */
    public RecordsClient(
            Scheduler scheduler, Network network, InetSocketAddress address, int maxConnections) {
        this.scheduler = scheduler;
        this.network = network;
        this.address = Optional.ofNullable(address);
        this.maxConnections = maxConnections;
        scheduler.runAfter(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Makes a call.
     *
     * @param requestId the request id of the run that makes the call; a run has one call at a time
     * @param timeout how long to wait for the reply
     * @param body the call's body
     * @param listener receives the outcome, never before this method has returned, unless the call
     *     is cancelled by {@link #cancel}
     */
    public void call(String requestId, Duration timeout, byte[] body, CallListener listener) {
        PendingCall call = new PendingCall(requestId, timeout, body, scheduler.now(), listener);
        pendingCalls.put(requestId, call);
        unsentCalls.add(call);
        call.timeoutTask =
                scheduler.runAfter(
                        timeout,
                        () -> {
                            if (isPending(call)) {
                                timeOut(call);
                            }
                        });
        sendUnsent();
    }

    /**
     * Changes the service's address. Calls already written are completed on their old connections;
     * all others are sent to the new address.
     *
     * @param newAddress the new address, or null if there is no records service any more
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (Objects.equals(newAddress, address.orElse(null))) {
            return;
        }
        address = Optional.ofNullable(newAddress);
        // Calls must not wait for connects to the old address, which may be out of service.
        generation++;
        connectCount = 0;
        for (RecordsConnection connection : new ArrayList<>(idleConnections)) {
            close(connection, CloseCode.MOVED);
        }
        sendUnsent();
    }

    private boolean isPending(PendingCall call) {
        return pendingCalls.get(call.requestId) == call;
    }

    /** Writes queued calls to idle connections, and opens connections if there are too few. */
    private void sendUnsent() {
        if (address.isEmpty()) {
            scheduler.post(this::failUnsent);
            return;
        }
        while (!unsentCalls.isEmpty() && !idleConnections.isEmpty()) {
            send(idleConnections.poll(), unsentCalls.iterator().next());
        }
        while (connectCount < unsentCalls.size()
                && connections.size() + connectCount < maxConnections) {
            connect(address.get());
        }
    }

    private void send(RecordsConnection connection, PendingCall call) {
        unsentCalls.remove(call);
        call.connection = Optional.of(connection);
        connection.send(call);
    }

    private void connect(InetSocketAddress to) {
        connectCount++;
        long connectGeneration = generation;
        network.connect(
                to,
                established ->
                        new RecordsConnection(established, to, connectGeneration, this, scheduler),
                () -> {
                    if (connectGeneration == generation) {
                        connectCount--;
                        failUnsent();
                    }
                });
    }

    /** Fails all queued calls as unreachable: none of them was written, so none has run. */
    private void failUnsent() {
        List<PendingCall> failed = new ArrayList<>(unsentCalls);
        unsentCalls.clear();
        failed.forEach(call -> finish(call, CallOutcome.Status.UNREACHABLE, NO_REPLY));
    }

    private void timeOut(PendingCall call) {
        // A call that was not written cannot have run.
        CallOutcome.Status status =
                call.connection.isPresent()
                        ? CallOutcome.Status.TIMED_OUT
                        : CallOutcome.Status.UNREACHABLE;
        cancel(call.requestId);
        finish(call, status, NO_REPLY);
    }

    /**
     * Cancels the call of a run that has ended; its listener is not called.
     *
     * @param requestId the request id of the run; ignored if the run has no call
     */
    public void cancel(String requestId) {
        PendingCall call = pendingCalls.remove(requestId);
        if (call == null) {
            return;
        }
        call.timeoutTask.cancel();
        if (unsentCalls.remove(call)) {
            return;
        }
        // The connection is not reused: a late reply could be mistaken for that of another call.
        call.connection.ifPresent(
                connection -> {
                    connection.cancel(requestId);
                    close(connection, CloseCode.GIVEN_UP);
                });
    }

    private void finish(PendingCall call, CallOutcome.Status status, byte[] reply) {
        pendingCalls.remove(call.requestId, call);
        call.timeoutTask.cancel();
        Duration elapsed = scheduler.now().minus(call.startedAt);
        call.listener.onCallFinished(new CallOutcome(status, elapsed), reply);
    }

    private void sweep() {
        scheduler.runAfter(SWEEP_INTERVAL, this::sweep);
        while (!idleConnections.isEmpty() && isIdleTooLong(idleConnections.peekLast())) {
            close(idleConnections.peekLast(), CloseCode.IDLE);
        }
    }

    private boolean isIdleTooLong(RecordsConnection connection) {
        return scheduler.now().minus(connection.lastUsedAt()).compareTo(IDLE_TIMEOUT) > 0;
    }

    /** Closes all connections. */
    public void close() {
        for (RecordsConnection connection : new ArrayList<>(connections)) {
            close(connection, CloseCode.LEAVING);
        }
    }

    private void close(RecordsConnection connection, CloseCode code) {
        connections.remove(connection);
        idleConnections.remove(connection);
        connection.close(code);
    }

    /** Makes a connection available for the next call, or closes it if its address is outdated. */
    private void release(RecordsConnection connection) {
        connection.clearCall();
        if (address.filter(connection.address()::equals).isPresent()) {
            idleConnections.push(connection);
        } else {
            close(connection, CloseCode.MOVED);
        }
    }

    void onConnected(RecordsConnection connection) {
        boolean isCurrent = connection.generation() == generation;
        if (isCurrent) {
            connectCount--;
        }
        if (!connection.isOpen()) {
            if (isCurrent) {
                failUnsent(); // nothing was written on it
            }
            return;
        }
        connections.add(connection);
        release(connection);
        sendUnsent();
    }

    /** Ends the call that a reply belongs to; a duplicate or unexpected reply is ignored. */
    void onReply(
            RecordsConnection connection,
            String requestId,
            CallOutcome.Status status,
            byte[] reply) {
        Optional<PendingCall> answeredCall =
                connection
                        .call()
                        .filter(call -> call.requestId.equals(requestId))
                        .filter(this::isPending);
        if (answeredCall.isEmpty()) {
            return;
        }
        release(connection);
        finish(answeredCall.get(), status, reply);
        sendUnsent();
    }

    void onDisconnected(RecordsConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        // It is unknown whether a call on a broken connection has run.
        connection
                .call()
                .filter(this::isPending)
                .ifPresent(call -> finish(call, CallOutcome.Status.RESET, NO_REPLY));
        sendUnsent();
    }
}
