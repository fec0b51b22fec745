package ochretiller.frontend;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;

/**
 * One client connection and its open requests. Each frontend has a subclass that decodes its
 * protocol and writes the responses. Confined to the event loop, except for {@link #received},
 * {@link #within} and {@link #closed}, which are called on the I/O thread.
 */
public abstract class ClientConnection implements ConnectionHandler {
    /** The underlying TCP connection. */
    protected final Connection connection;

    private final ClientConnections clients;
    private final Duration acceptedAt;
    private final Map<Long, RequestAttempt> openAttempts = new LinkedHashMap<>();
    private boolean hasSentValidMessage;
    private boolean isSurplus;
    private int pendingChecks;
    private boolean inputEnded;
    private boolean hasViolatedProtocol;
    private boolean isDropped;

    /** Set when the client was asked to close the connection or has violated the protocol. */
    private Optional<CloseCode> closingReason = Optional.empty();

    /**
     * Creates a connection, which the caller must pass to {@link ClientConnections#accepted}.
     *
     * @param connection the underlying TCP connection
     * @param clients all client connections of the server
     */
    protected ClientConnection(Connection connection, ClientConnections clients) {
        this.connection = connection;
        this.clients = clients;
        this.acceptedAt = clients.now();
    }

    /**
     * Writes a result.
     *
     * @param attempt the attempt to answer
     * @param result the result's bytes
     * @param replayed whether this is the stored result of an earlier attempt
     */
    protected abstract void succeeds(RequestAttempt attempt, byte[] result, boolean replayed);

    /**
     * Writes that the attempt was rejected before it ran.
     *
     * @param attempt the attempt to answer
     * @param retryAfter the delay to advise before a retry; zero to advise none
     * @param isFinal whether to tell the client that a retry is of no use
     */
    protected abstract void throttles(
            RequestAttempt attempt, Duration retryAfter, boolean isFinal);

    /**
     * Writes an error.
     *
     * @param attempt the attempt to answer
     * @param reason why it failed
     */
    protected abstract void fails(RequestAttempt attempt, FailureReason reason);

    /**
     * Asks the client to send no further requests on this connection.
     *
     * @return false if the protocol has no message for this
     */
    protected boolean leaves() {
        return false;
    }

    /** Returns whether the protocol allows no further request, so the connection can be closed. */
    protected boolean done() {
        return false;
    }

    /** Records that the client has sent a valid request or health check. */
    public void shows() {
        hasSentValidMessage = true;
        clients.shows(this);
    }

    /** Returns whether the client has ever sent a valid request or health check. */
    boolean shown() {
        return hasSentValidMessage;
    }

    /** Returns whether the connection exceeds the limit, so that its requests are rejected. */
    boolean surplus() {
        return isSurplus;
    }

    void makeSurplus() {
        isSurplus = true;
    }

    /** Returns when the connection was accepted, measured from the start of the server. */
    Duration madeAt() {
        return acceptedAt;
    }

    /** Returns the unanswered attempts on this connection by request number, the oldest first. */
    public Map<Long, RequestAttempt> open() {
        return openAttempts;
    }

    /**
     * Changes the number of health checks in progress.
     *
     * @param change the number of checks that were started; negative if they have ended
     */
    public void checks(int change) {
        pendingChecks += change;
    }

    private boolean isBusy() {
        return !openAttempts.isEmpty() || pendingChecks > 0 || waits();
    }

    /**
     * Returns whether requests are queued after an earlier unanswered one, in protocols that
     * answer in order.
     */
    protected boolean waits() {
        return false;
    }

    @Override
    public void inputEnded() {
        inputEnded = true;
        settle();
    }

    /**
     * Returns whether the connection can be closed without loss: it has no open request, no
     * unprocessed input, and no incomplete message that the client may still want answered. An
     * incomplete message does not count if the client has never sent a valid one.
     *
     * @param maxAge the age from which no client waits for an incomplete message
     */
    boolean quiet(Duration maxAge) {
        boolean isSending =
                hasSentValidMessage
                        && connection
                                .within()
                                .filter(since -> clients.now().minus(since).compareTo(maxAge) < 0)
                                .isPresent();
        return !isBusy() && connection.quiet() && !isSending;
    }

    /**
     * Asks the client to send no further requests, unless it was asked before.
     *
     * @param code the code to close the connection with later
     * @return false if the protocol has no message for this
     */
    boolean part(CloseCode code) {
        if (closingReason.isPresent()) {
            return true;
        }
        if (!leaves()) {
            return false;
        }
        closingReason = Optional.of(code);
        return true;
    }

    /** Closes a connection, with the code of {@link #part}, after its client could react. */
    void close() {
        connection.close(closingReason.orElseThrow());
    }

    /**
     * Drops a connection that is closing, or whose client was asked to leave, unless
     * that would lose a request or a response.
     *
     * @param maxAge the age from which no client waits for an incomplete message
     * @return whether this call dropped the connection
     */
    boolean hurry(Duration maxAge) {
        boolean isLeaving = closingReason.isPresent() || !connection.open();
        if (isDropped || !isLeaving || !quiet(maxAge) || !connection.sent()) {
            return false;
        }
        isDropped = true;
        connection.drop(closingReason.orElse(CloseCode.TOO_MANY));
        return true;
    }

    /** Answers the requests that were read before the violation, then closes the connection. */
    @Override
    public boolean spoilt(CloseCode code) {
        hasViolatedProtocol = true;
        closingReason = Optional.of(code);
        clients.goes(this);
        settle();
        return true;
    }

    /** Returns whether the client has violated the protocol and is no longer read from. */
    protected boolean unreadable() {
        return hasViolatedProtocol;
    }

    /** Closes the connection if everything is answered and no further request can arrive. */
    public void settle() {
        if (isBusy()) {
            return;
        }
        finalCloseCode()
                .ifPresent(
                        code -> {
                            clients.goes(this);
                            connection.close(code);
                        });
    }

    /** Returns why a connection without open requests is to be closed, or empty to keep it. */
    private Optional<CloseCode> finalCloseCode() {
        if (hasViolatedProtocol) {
            return closingReason;
        }
        if (inputEnded) {
            return Optional.of(closingReason.orElse(CloseCode.PEER_CLOSED));
        }
        if (isSurplus) {
            return Optional.of(CloseCode.TOO_MANY);
        }
        return done() ? Optional.of(CloseCode.ANSWERED) : Optional.empty();
    }

    @Override
    public void closed() {
        clients.closed();
    }

    @Override
    public void ended(CloseCode code) {
        clients.ended(this);
    }
}
