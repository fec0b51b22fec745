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
 * Makes calls to the records service over a pool of connections. Connections are made when they are
 * needed and carry one call at a time, so a connection that breaks affects one call only. The one
 * that was used last is used next, and idle ones are closed before the service closes them. Belongs
 * to the event loop.
 */
public final class RecordsClient {
    /**
     * The service closes idle connections, at the earliest some time after this; a call must not
     * cross such a close.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    private static final byte[] NO_REPLY = {};

    private final Scheduler schedule;
    private final Network network;
    private final int maxConnections;
    private final Map<String, PendingCall> calls = new LinkedHashMap<>();
    private final Set<PendingCall> unsent = new LinkedHashSet<>();
    private final Set<RecordsConnection> connections = new LinkedHashSet<>();

    /** Connections without a call, the one used last first. */
    private final Deque<RecordsConnection> idle = new ArrayDeque<>();

    private Optional<InetSocketAddress> address;

    /** How many connections to the current address are being made. */
    private int connecting;

    /** Counts changes of the address, to tell connects to it from those to earlier ones. */
    private long generation;

    /**
     * A client without connections.
     *
     * @param schedule the event loop
     * @param network makes the connections
     * @param address the service's address, or null where there is no such service
     * @param most connections that may be open at once; further calls wait for one
     */
    public RecordsClient(Scheduler schedule, Network network, InetSocketAddress address, int most) {
        this.schedule = schedule;
        this.network = network;
        this.address = Optional.ofNullable(address);
        this.maxConnections = most;
        schedule.after(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Makes a call.
     *
     * @param rid the request id of the run that makes it; one call of a run at a time
     * @param patience how long to wait for the reply
     * @param body the call's body
     * @param then told of the call's end, unless it is cancelled by {@link #abandon}
     */
    public void call(String rid, Duration patience, byte[] body, CallListener then) {
        PendingCall call = new PendingCall(rid, patience, body, schedule.now(), then);
        calls.put(rid, call);
        unsent.add(call);
        schedule.after(
                patience,
                () -> {
                    if (isPending(call)) {
                        timeOut(call);
                    }
                });
        sendUnsent();
    }

    /**
     * Changes the service's address. Calls that were written may end on their old connections; all
     * others go to the new address.
     *
     * @param to the new address, or null where there is no such service any more
     */
    public void move(InetSocketAddress to) {
        if (Objects.equals(to, address.orElse(null))) {
            return;
        }
        address = Optional.ofNullable(to);
        // Calls must not wait for connects to the old address, where nobody may listen any more.
        generation++;
        connecting = 0;
        for (RecordsConnection connection : new ArrayList<>(idle)) {
            close(connection, CloseCode.MOVED);
        }
        sendUnsent();
    }

    private boolean isPending(PendingCall call) {
        return calls.get(call.requestId) == call;
    }

    /** Gives idle connections to calls that wait, and makes more where there are too few. */
    private void sendUnsent() {
        if (address.isEmpty()) {
            schedule.post(this::failUnsent);
            return;
        }
        while (!unsent.isEmpty() && !idle.isEmpty()) {
            send(idle.poll(), unsent.iterator().next());
        }
        while (connecting < unsent.size() && connections.size() + connecting < maxConnections) {
            connect(address.get());
        }
    }

    private void send(RecordsConnection connection, PendingCall call) {
        unsent.remove(call);
        call.connection = Optional.of(connection);
        connection.send(call);
    }

    private void connect(InetSocketAddress to) {
        connecting++;
        long begunIn = generation;
        network.connect(
                to,
                made -> new RecordsConnection(made, to, begunIn, this, schedule),
                () -> {
                    if (begunIn == generation) {
                        connecting--;
                        failUnsent();
                    }
                });
    }

    /** The service cannot be reached, which proves that calls that were not written never ran. */
    private void failUnsent() {
        List<PendingCall> failed = new ArrayList<>(unsent);
        unsent.clear();
        failed.forEach(call -> finish(call, CallOutcome.Status.UNREACHABLE, NO_REPLY));
    }

    private void timeOut(PendingCall call) {
        // A call that was not written is known not to have run.
        CallOutcome.Status status =
                call.connection.isPresent()
                        ? CallOutcome.Status.TIMED_OUT
                        : CallOutcome.Status.UNREACHABLE;
        abandon(call.requestId);
        finish(call, status, NO_REPLY);
    }

    /**
     * Cancels a call whose run is over; its listener is not told.
     *
     * @param rid the run's request id; ignored where it has no call
     */
    public void abandon(String rid) {
        PendingCall call = calls.remove(rid);
        if (call == null || unsent.remove(call)) {
            return;
        }
        // The connection is not used again: the reply may still come, and be taken for another's.
        call.connection.ifPresent(
                connection -> {
                    connection.cancel(rid);
                    close(connection, CloseCode.GIVEN_UP);
                });
    }

    private void finish(PendingCall call, CallOutcome.Status status, byte[] reply) {
        calls.remove(call.requestId, call);
        Duration elapsed = schedule.now().minus(call.startedAt);
        call.listener.onCallFinished(new CallOutcome(status, elapsed), reply);
    }

    private void sweep() {
        schedule.after(SWEEP_INTERVAL, this::sweep);
        while (!idle.isEmpty() && isIdleTooLong(idle.peekLast())) {
            close(idle.peekLast(), CloseCode.IDLE);
        }
    }

    private boolean isIdleTooLong(RecordsConnection connection) {
        return schedule.now().minus(connection.lastUsedAt()).compareTo(IDLE_TIMEOUT) > 0;
    }

    /** Closes all connections. */
    public void close() {
        for (RecordsConnection connection : new ArrayList<>(connections)) {
            close(connection, CloseCode.LEAVING);
        }
    }

    private void close(RecordsConnection connection, CloseCode code) {
        connections.remove(connection);
        idle.remove(connection);
        connection.close(code);
    }

    /** The connection has no call: the next may use it, if it leads to the current address. */
    private void release(RecordsConnection connection) {
        connection.clearCall();
        if (address.filter(connection.address()::equals).isPresent()) {
            idle.push(connection);
        } else {
            close(connection, CloseCode.MOVED);
        }
    }

    void onConnected(RecordsConnection connection) {
        boolean isCurrent = connection.generation() == generation;
        if (isCurrent) {
            connecting--;
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

    /** A reply that was repeated, or that belongs to no call, is ignored. */
    void onReply(
            RecordsConnection connection,
            String requestId,
            CallOutcome.Status status,
            byte[] reply) {
        Optional<PendingCall> answered =
                connection
                        .call()
                        .filter(call -> call.requestId.equals(requestId))
                        .filter(this::isPending);
        if (answered.isEmpty()) {
            return;
        }
        release(connection);
        finish(answered.get(), status, reply);
        sendUnsent();
    }

    void onDisconnected(RecordsConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
        // The call may have run: a connection that breaks does not tell.
        connection
                .call()
                .filter(this::isPending)
                .ifPresent(call -> finish(call, CallOutcome.Status.RESET, NO_REPLY));
        sendUnsent();
    }
}
