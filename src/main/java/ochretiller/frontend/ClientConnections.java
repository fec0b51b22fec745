package ochretiller.frontend;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import ochretiller.model.InvocationId;
import ochretiller.net.CloseCode;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;

/**
 * The clients' side of the server, over all protocols: attempts that come in go to the server's
 * decisions, and each attempt gets at most one answer. Belongs to the event loop, except for {@link
 * #accepted}.
 */
public final class ClientConnections {
    private final Scheduler schedule;
    private final ConnectionTable connections;
    private final Consumer<RequestAttempt> arrived;
    private final Consumer<RequestAttempt> gone;
    private final Map<String, RequestAttempt> attempts = new HashMap<>();
    private long lastId;
    private int openTries;
    private BiConsumer<RequestAttempt, AnswerKind> answerListener = (attempt, kind) -> {};

    /**
     * No connection yet.
     *
     * @param schedule the event loop
     * @param limit connections that may be open, over all frontends
     * @param longest how long a client waits for anything at most; an incomplete message that is
     *     older is ignored
     * @param idleAfter how long a connection may be idle at first
     * @param arrived told of each attempt that is read
     * @param gone told of each attempt whose client no longer waits
     */
    public ClientConnections(
            Scheduler schedule,
            int limit,
            Duration longest,
            Duration idleAfter,
            Consumer<RequestAttempt> arrived,
            Consumer<RequestAttempt> gone) {
        this.schedule = schedule;
        this.connections = new ConnectionTable(schedule, limit, longest, idleAfter);
        this.arrived = arrived;
        this.gone = gone;
    }

    /**
     * Sets the listener of answers.
     *
     * @param listener told of each answer, once
     */
    public void ends(BiConsumer<RequestAttempt, AnswerKind> listener) {
        answerListener = listener;
    }

    Duration now() {
        return schedule.now();
    }

    /**
     * Takes a connection that was accepted. Called on the I/O thread.
     *
     * @return the same, as the handler of its connection
     */
    public ConnectionHandler accepted(ClientConnection peer) {
        connections.accept(peer);
        return peer;
    }

    /** A connection has sent its first valid message. */
    void shows(ClientConnection peer) {
        connections.markActive(peer);
    }

    /** A connection is about to be closed. */
    void goes(ClientConnection peer) {
        connections.startLeaving(peer);
    }

    /** A connection has released its file descriptor. Called on the I/O thread. */
    void closed() {
        connections.countReleased();
    }

    /** A connection has ended: its clients no longer wait. */
    void ended(ClientConnection peer) {
        connections.remove(peer);
        for (RequestAttempt attempt : List.copyOf(peer.open().values())) {
            abort(attempt);
        }
    }

    /** The client no longer waits for this attempt, which gets no answer. */
    public void abort(RequestAttempt inv) {
        settle(inv);
        gone.accept(inv);
    }

    /** Whether an attempt with this request id is open or still runs. */
    public boolean knows(String rid) {
        return attempts.containsKey(rid);
    }

    /** An id that no other attempt of this process has. */
    public InvocationId nextId() {
        return new InvocationId(++lastId);
    }

    /**
     * Takes an attempt that was read. It goes to the server's decisions; on a surplus connection it
     * is rejected at once.
     */
    public void opened(RequestAttempt inv) {
        ClientConnection peer = inv.peer;
        peer.shows();
        peer.open().put(inv.number, inv);
        attempts.put(inv.rid, inv);
        openTries++;
        if (peer.surplus()) {
            throttle(inv, Duration.ZERO, false); // it never ran, and another server may have room
        } else {
            arrived.accept(inv);
        }
        if (inv.answered() && !inv.running()) {
            forget(inv);
        }
    }

    /**
     * Finds an attempt that is open or still runs.
     *
     * @param rid its request id
     * @return the attempt, or null where there is none
     */
    public RequestAttempt find(String rid) {
        return attempts.get(rid);
    }

    /** Removes an attempt that is answered and whose run is over. */
    public void forget(RequestAttempt inv) {
        attempts.remove(inv.rid, inv);
    }

    /** Marks an attempt as answered; false where it was answered before. */
    private boolean settle(RequestAttempt attempt) {
        if (attempt.answered()) {
            return false;
        }
        attempt.settle();
        attempt.peer.open().remove(attempt.number);
        openTries--;
        return true;
    }

    private void onAnswered(RequestAttempt attempt, AnswerKind kind) {
        answerListener.accept(attempt, kind);
        attempt.peer.connection.used(schedule.now());
        attempt.peer.settle();
    }

    /** Answers with the result of the attempt's own run, unless it was answered before. */
    public void succeed(RequestAttempt inv, byte[] result) {
        succeed(inv, result, false);
    }

    /**
     * Answers with a result, unless the attempt was answered before.
     *
     * @param replayed whether it is the stored result of an earlier attempt
     */
    public void succeed(RequestAttempt inv, byte[] result, boolean replayed) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.succeeds(inv, result, replayed);
        onAnswered(inv, replayed ? AnswerKind.REPLAYED : AnswerKind.SUCCEEDED);
    }

    /**
     * Rejects an attempt that never ran, unless it was answered before.
     *
     * @param retryIn when to retry; zero where nothing is said about that
     * @param last whether a retry is of no use
     */
    public void throttle(RequestAttempt inv, Duration retryIn, boolean last) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.throttles(inv, retryIn, last);
        onAnswered(inv, AnswerKind.THROTTLED);
    }

    /** Answers with an error, unless the attempt was answered before. */
    public void fail(RequestAttempt inv, FailureReason why) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.fails(inv, why);
        onAnswered(inv, AnswerKind.ERRORED);
    }

    /** How many attempts are not answered yet. */
    public int openTries() {
        return openTries;
    }

    /** Sets how long a connection may be idle before it is closed. */
    public void idleAfter(Duration span) {
        connections.setIdleTimeout(span);
    }

    /** Asks all clients, and each that connects from here on, to send nothing more. */
    public void leave() {
        connections.startDrain();
    }

    /** How many connections have not ended. */
    public int connections() {
        return connections.size();
    }

    /** Closes all connections at once; answers that have not gone out are lost. */
    public void drop() {
        for (ClientConnection peer : connections.all()) {
            peer.connection.drop(CloseCode.LEAVING);
        }
    }

    /** Closes all connections once their output has gone out. */
    public void close() {
        for (ClientConnection peer : connections.all()) {
            peer.connection.close(CloseCode.LEAVING);
        }
    }
}
