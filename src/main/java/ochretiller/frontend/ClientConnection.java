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
 * protocol and writes the responses. Confined to the event loop, except for {@link
 * #onDescriptorReleased}, which is called on the I/O thread.
 */
public abstract class ClientConnection implements ConnectionHandler {
    /** The underlying TCP connection. */
    protected final Connection connection;

    private final ClientConnections clients;
    private final Duration acceptedAt;
    private final Map<Long, RequestAttempt> openAttempts = new LinkedHashMap<>();
    private boolean hasSentValidMessage;
    private boolean isSurplus;
    private boolean hasAcceptedRequest;
    private int pendingChecks;
    private boolean inputEnded;
    private boolean hasViolatedProtocol;
    private boolean isDropped;

    /** Set when the client was asked to close the connection or has violated the protocol. */
    private Optional<CloseCode> closingReason = Optional.empty();

    /**
     * Creates a connection, which the caller must pass to {@link ClientConnections#register}.
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
    protected abstract void writeResult(RequestAttempt attempt, byte[] result, boolean replayed);

    /**
     * Writes that the attempt was rejected before it ran.
     *
     * @param attempt the attempt to answer
     * @param retryAfter the delay to advise before a retry; zero to advise none
     * @param isFinal whether to tell the client that a retry is of no use
     */
    protected abstract void writeThrottled(
            RequestAttempt attempt, Duration retryAfter, boolean isFinal);

    /**
     * Writes an error.
     *
     * @param attempt the attempt to answer
     * @param reason why it failed
     */
    protected abstract void writeError(RequestAttempt attempt, FailureReason reason);

    /**
     * Asks the client to send no further requests on this connection.
     *
     * @return false if the protocol has no message for this
     */
    protected boolean writeShutdown() {
        return false;
    }

    /** Returns whether the protocol allows no further request, so the connection can be closed. */
    protected boolean isFinished() {
        return false;
    }

    /** Records that the client has sent a valid request or health check. */
    public void markValidMessage() {
        hasSentValidMessage = true;
        clients.markActive(this);
    }

    /** Returns whether the client has ever sent a valid request or health check. */
    boolean hasSentValidMessage() {
        return hasSentValidMessage;
    }

    /** Records that a request was accepted, whatever becomes of it. */
    void markAcceptedRequest() {
        hasAcceptedRequest = true;
    }

    @Override
    public boolean takeAcceptedRequest() {
        boolean hadAcceptedRequest = hasAcceptedRequest;
        hasAcceptedRequest = false;
        return hadAcceptedRequest;
    }

    /** Returns whether the connection exceeds the limit, so that its requests are rejected. */
    boolean isSurplus() {
        return isSurplus;
    }

    void markSurplus() {
        isSurplus = true;
    }

    /** Returns when the connection was accepted, measured from the start of the server. */
    Duration acceptedAt() {
        return acceptedAt;
    }

    /** Returns the unanswered attempts on this connection by request number, the oldest first. */
    public Map<Long, RequestAttempt> openAttempts() {
        return openAttempts;
    }

    /**
     * Changes the number of health checks in progress.
     *
     * @param change the number of checks that were started; negative if they have ended
     */
    public void addPendingChecks(int change) {
        pendingChecks += change;
    }

    private boolean isBusy() {
        return !openAttempts.isEmpty() || pendingChecks > 0 || hasQueuedRequests();
    }

    /**
     * Returns whether requests are queued after an earlier unanswered one, in protocols that answer
     * in order.
     */
    protected boolean hasQueuedRequests() {
        return false;
    }

    @Override
    public void onInputEnded() {
        inputEnded = true;
        closeIfDone();
    }

    /**
     * Returns whether the connection can be closed without loss: it has no open request, no
     * unprocessed input, and no incomplete message that the client may still want answered. An
     * incomplete message does not count if the client has never sent a valid one.
     *
     * @param maxAge the age from which no client waits for an incomplete message
     */
    boolean isClosable(Duration maxAge) {
        boolean isSending =
                hasSentValidMessage
                        && connection
                                .incompleteSince()
                                .filter(since -> clients.now().minus(since).compareTo(maxAge) < 0)
                                .isPresent();
        return !isBusy() && connection.isInputProcessed() && !isSending;
    }

    /**
     * Asks the client to send no further requests, unless it was asked before.
     *
     * @param code the code to close the connection with later
     * @return false if the protocol has no message for this
     */
    boolean askToLeave(CloseCode code) {
        if (closingReason.isPresent()) {
            return true;
        }
        if (!writeShutdown()) {
            return false;
        }
        closingReason = Optional.of(code);
        return true;
    }

    /** Closes a connection, with the code of {@link #askToLeave}, after its client could react. */
    void close() {
        connection.close(closingReason.orElseThrow());
    }

    /**
     * Drops a connection that is closing, or whose client was asked to leave, unless that would
     * lose a request or a response.
     *
     * @param maxAge the age from which no client waits for an incomplete message
     * @return whether this call dropped the connection
     */
    boolean dropIfLeaving(Duration maxAge) {
        boolean isLeaving = closingReason.isPresent() || !connection.isOpen();
        if (isDropped || !isLeaving || !isClosable(maxAge) || !connection.isOutputSent()) {
            return false;
        }
        isDropped = true;
        connection.drop(closingReason.orElse(CloseCode.TOO_MANY));
        return true;
    }

    /** Answers the requests that were read before the violation, then closes the connection. */
    @Override
    public boolean onProtocolViolation(CloseCode code) {
        hasViolatedProtocol = true;
        closingReason = Optional.of(code);
        clients.startLeaving(this);
        closeIfDone();
        return true;
    }

    /** Returns whether the client has violated the protocol and is no longer read from. */
    protected boolean hasViolatedProtocol() {
        return hasViolatedProtocol;
    }

    /** Closes the connection if everything is answered and no further request can arrive. */
    public void closeIfDone() {
        if (isBusy()) {
            return;
        }
        finalCloseCode()
                .ifPresent(
                        code -> {
                            clients.startLeaving(this);
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
        return isFinished() ? Optional.of(CloseCode.ANSWERED) : Optional.empty();
    }

    @Override
    public void onDescriptorReleased() {
        clients.onDescriptorReleased();
    }

    @Override
    public void onClosed(CloseCode code) {
        clients.onClosed(this);
    }
}
