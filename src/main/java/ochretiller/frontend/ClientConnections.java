package ochretiller.frontend;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.model.InvocationId;
import ochretiller.net.CloseCode;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;

/**
 * All client connections of the server, over all protocols. Passes arriving attempts to a listener
 * and ensures that each is answered at most once. Confined to the event loop, except for {@link
 * #register} and {@link #onDescriptorReleased}.
 */
public final class ClientConnections {
    /** Unanswered attempts may take 1/16 of the server's memory. */
    private static final int OPEN_ATTEMPTS_MEMORY_DIVISOR = 16;

    private final Scheduler scheduler;
    private final ConnectionTable table;
    private final Consumer<RequestAttempt> onArrived;
    private final Consumer<RequestAttempt> onAborted;
    private final Predicate<RequestAttempt> isKnownRetry;
    private final OpenAttemptMemory memory;
    private final UsedRequestIds usedIds = new UsedRequestIds();
    private final Map<String, RequestAttempt> attempts = new HashMap<>();
    private long lastId;
    private int openAttemptCount;
    private BiConsumer<RequestAttempt, AnswerKind> answerListener = (attempt, kind) -> {};

    /**
     * Creates an instance without connections.
     *
     * @param scheduler the event loop
     * @param limits how many connections there may be, and what they may hold
     * @param onArrived called with each attempt that was read
     * @param onAborted called with each attempt whose client no longer waits
     * @param isKnownRetry whether an attempt repeats one that this server knows, which may have
     *     run; it is passed on even from a surplus connection
     */
    public ClientConnections(
            Scheduler scheduler,
            ClientLimits limits,
            Consumer<RequestAttempt> onArrived,
            Consumer<RequestAttempt> onAborted,
            Predicate<RequestAttempt> isKnownRetry) {
        this.scheduler = scheduler;
        this.table =
                new ConnectionTable(
                        scheduler,
                        limits.connections(),
                        limits.longestWait(),
                        limits.idleTimeout());
        this.onArrived = onArrived;
        this.onAborted = onAborted;
        this.isKnownRetry = isKnownRetry;
        this.memory = new OpenAttemptMemory(limits.memoryBytes() / OPEN_ATTEMPTS_MEMORY_DIVISOR);
    }

    /**
     * Sets the listener for answered attempts.
     *
     * @param listener called once for each attempt that is answered
     */
    public void setAnswerListener(BiConsumer<RequestAttempt, AnswerKind> listener) {
        answerListener = listener;
    }

    /**
     * Returns the number of connections that may hold a file descriptor at once.
     *
     * @param limit the maximum number of open connections
     */
    public static int maxDescriptors(int limit) {
        return ConnectionTable.maxDescriptors(limit);
    }

    Duration now() {
        return scheduler.now();
    }

    /**
     * Registers an accepted connection. Called on the I/O thread.
     *
     * @return {@code peer}
     */
    public ConnectionHandler register(ClientConnection peer) {
        table.accept(peer);
        return peer;
    }

    /** Called when a connection has sent a valid message. */
    void markActive(ClientConnection peer) {
        table.markActive(peer);
    }

    /** Called when a connection is about to be closed. */
    void startLeaving(ClientConnection peer) {
        table.startLeaving(peer);
    }

    /** Called on the I/O thread when a connection has released its file descriptor. */
    void onDescriptorReleased() {
        table.countReleased();
    }

    /** Called when a connection has been closed: aborts its open attempts. */
    void onClosed(ClientConnection peer) {
        table.remove(peer);
        for (RequestAttempt attempt : List.copyOf(peer.openAttempts().values())) {
            abort(attempt);
        }
    }

    /** Aborts an attempt whose client no longer waits; it is not answered. */
    public void abort(RequestAttempt attempt) {
        markAnswered(attempt);
        onAborted.accept(attempt);
    }

    /**
     * Returns whether a new attempt may not have this request id: one with it is open or still
     * running, or was run and must not be run again.
     */
    public boolean isRequestIdUsed(String requestId) {
        return attempts.containsKey(requestId) || usedIds.contains(requestId);
    }

    /** Records that an attempt is handed to a backend, so that its effect may happen. */
    public void markDispatched(RequestAttempt attempt) {
        usedIds.add(attempt);
    }

    /** Returns an attempt id that is unique within this process. */
    public InvocationId nextId() {
        return new InvocationId(++lastId);
    }

    /**
     * Registers an attempt that was read. On a surplus connection, or beyond the connection's share
     * of scarce memory, it is throttled at once, unless it repeats a known attempt: a throttled
     * response says that nothing was executed.
     */
    public void addAttempt(RequestAttempt attempt) {
        ClientConnection peer = attempt.clientConnection;
        peer.markValidMessage();
        peer.markAcceptedRequest();
        peer.openAttempts().put(attempt.number, attempt);
        attempts.put(attempt.requestId, attempt);
        openAttemptCount++;
        boolean isWithinShare = memory.add(attempt);
        boolean isRefused = peer.isSurplus() || !isWithinShare;
        if (isRefused && !isKnownRetry.test(attempt)) {
            throttle(attempt, Duration.ZERO, false); // another server may have capacity
        } else if (!isWithinShare) {
            fail(attempt, FailureReason.DEADLINE_EXCEEDED); // the original may have run
        } else {
            onArrived.accept(attempt);
        }
        if (attempt.isAnswered() && !attempt.isRunning()) {
            removeAttempt(attempt);
        }
    }

    /**
     * Finds an attempt that is open or still running.
     *
     * @param requestId the request id of the attempt
     * @return the attempt, or null if there is none
     */
    public RequestAttempt findAttempt(String requestId) {
        return attempts.get(requestId);
    }

    /** Removes an attempt that is answered and whose run has ended. */
    public void removeAttempt(RequestAttempt attempt) {
        attempts.remove(attempt.requestId, attempt);
    }

    /** Marks an attempt as answered; returns false if it already was. */
    private boolean markAnswered(RequestAttempt attempt) {
        if (attempt.isAnswered()) {
            return false;
        }
        attempt.markAnswered();
        attempt.clientConnection.openAttempts().remove(attempt.number);
        openAttemptCount--;
        memory.remove(attempt);
        return true;
    }

    private void onAnswered(RequestAttempt attempt, AnswerKind kind) {
        answerListener.accept(attempt, kind);
        attempt.clientConnection.connection.markUsed(scheduler.now());
        attempt.clientConnection.closeIfDone();
    }

    /** Answers with the result of the attempt's own run, unless already answered. */
    public void succeed(RequestAttempt attempt, byte[] result) {
        succeed(attempt, result, false);
    }

    /**
     * Answers with a result, unless already answered.
     *
     * @param replayed whether this is the stored result of an earlier attempt
     */
    public void succeed(RequestAttempt attempt, byte[] result, boolean replayed) {
        if (!markAnswered(attempt)) {
            return;
        }
        attempt.clientConnection.writeResult(attempt, result, replayed);
        onAnswered(attempt, replayed ? AnswerKind.REPLAYED : AnswerKind.SUCCEEDED);
    }

    /**
     * Rejects an attempt that never ran, unless already answered.
     *
     * @param retryAfter the delay to advise before a retry; zero to advise none
     * @param isFinal whether to tell the client that a retry is of no use
     */
    public void throttle(RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
        if (!markAnswered(attempt)) {
            return;
        }
        attempt.clientConnection.writeThrottled(attempt, retryAfter, isFinal);
        onAnswered(attempt, AnswerKind.THROTTLED);
    }

    /** Answers with an error, unless already answered. */
    public void fail(RequestAttempt attempt, FailureReason reason) {
        if (!markAnswered(attempt)) {
            return;
        }
        attempt.clientConnection.writeError(attempt, reason);
        onAnswered(attempt, AnswerKind.ERRORED);
    }

    /** Returns the number of unanswered attempts. */
    public int openAttemptCount() {
        return openAttemptCount;
    }

    /** Returns whether all input that was read from clients has been processed. */
    public boolean isInputProcessed() {
        return table.all().stream().allMatch(peer -> peer.connection.isInputProcessed());
    }

    /** Sets how long a connection may be idle before it is closed. */
    public void setIdleTimeout(Duration timeout) {
        table.setIdleTimeout(timeout);
    }

    /** Asks all current and future clients to send no further requests. */
    public void startDrain() {
        table.startDrain();
    }

    /** Returns the number of connections that are open or closing. */
    public int connectionCount() {
        return table.size();
    }

    /** Closes all connections at once and discards unsent responses. */
    public void dropAll() {
        for (ClientConnection peer : table.all()) {
            peer.connection.drop(CloseCode.LEAVING);
        }
    }

    /** Closes all connections after their output has been sent. */
    public void closeAll() {
        for (ClientConnection peer : table.all()) {
            peer.connection.close(CloseCode.LEAVING);
        }
    }
}
