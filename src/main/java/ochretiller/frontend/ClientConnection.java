package ochretiller.frontend;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;

/**
 * One connection of a client and the requests that are open on it. A frontend's subclass decodes
 * its protocol and writes the answers. Belongs to the event loop, except for {@link #received},
 * {@link #within} and {@link #closed}, which the I/O thread calls.
 */
public abstract class ClientConnection implements ConnectionHandler {
    /** The connection under this protocol. */
    protected final Connection connection;

    private final ClientConnections callers;
    private final Duration madeAt;
    private final Map<Long, RequestAttempt> open = new LinkedHashMap<>();
    private boolean shown;
    private boolean surplus;
    private int pendingChecks;
    private boolean inputEnded;
    private boolean unreadable;
    private boolean dropped;

    /** Why the connection is to be closed, once the client was told or can no longer be read. */
    private Optional<CloseCode> closingReason = Optional.empty();

    /**
     * A new connection, which has yet to be passed to {@link ClientConnections#accepted}.
     *
     * @param connection the connection under this protocol
     * @param callers the server's connections of clients
     */
    protected ClientConnection(Connection connection, ClientConnections callers) {
        this.connection = connection;
        this.callers = callers;
        this.madeAt = callers.now();
    }

    /**
     * Writes a result.
     *
     * @param inv the attempt
     * @param result the result's bytes
     * @param replayed whether it is the stored result of an earlier attempt
     */
    protected abstract void succeeds(RequestAttempt inv, byte[] result, boolean replayed);

    /**
     * Writes that the attempt was rejected before it ran.
     *
     * @param inv the attempt
     * @param retryIn when to retry; zero where nothing is said about that
     * @param last whether a retry is of no use
     */
    protected abstract void throttles(RequestAttempt inv, Duration retryIn, boolean last);

    /**
     * Writes an error.
     *
     * @param inv the attempt
     * @param why the reason
     */
    protected abstract void fails(RequestAttempt inv, FailureReason why);

    /**
     * Asks the client to send nothing more on this connection.
     *
     * @return false where the protocol has no message for that
     */
    protected boolean leaves() {
        return false;
    }

    /** Whether the protocol allows no further request, so that the connection is to be closed. */
    protected boolean done() {
        return false;
    }

    /** Notes that the client has sent a valid request or health check. */
    public void shows() {
        shown = true;
        callers.shows(this);
    }

    /** Whether the client has ever sent a valid request or health check. */
    boolean shown() {
        return shown;
    }

    /** Whether the connection exceeds the limit, so that its requests are rejected. */
    boolean surplus() {
        return surplus;
    }

    void makeSurplus() {
        surplus = true;
    }

    /** When the connection was accepted, since the server's start. */
    Duration madeAt() {
        return madeAt;
    }

    /** The unanswered attempts on this connection, by their numbers; the oldest first. */
    public Map<Long, RequestAttempt> open() {
        return open;
    }

    /**
     * Counts health checks that are under way.
     *
     * @param more how many more; negative once they are over
     */
    public void checks(int more) {
        pendingChecks += more;
    }

    private boolean isBusy() {
        return !open.isEmpty() || pendingChecks > 0 || waits();
    }

    /**
     * Whether requests that were read wait until an earlier one is answered, as in protocols that
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
     * Whether the connection can be closed without loss: nothing is open on it, no input waits, and
     * no message is incomplete that the client may still wait for. Where no valid message ever
     * came, an incomplete one is no reason to keep the connection.
     *
     * @param patience the age from which nobody waits for an incomplete message
     */
    boolean quiet(Duration patience) {
        boolean isSending =
                shown
                        && connection
                                .within()
                                .filter(since -> callers.now().minus(since).compareTo(patience) < 0)
                                .isPresent();
        return !isBusy() && connection.quiet() && !isSending;
    }

    /**
     * Asks the client once to send nothing more.
     *
     * @param why the code with which the connection is then closed
     * @return false where the protocol has no message for that
     */
    boolean part(CloseCode why) {
        if (closingReason.isPresent()) {
            return true;
        }
        if (!leaves()) {
            return false;
        }
        closingReason = Optional.of(why);
        return true;
    }

    /** Closes a connection whose client was asked to send nothing more and had time to react. */
    void close() {
        connection.close(closingReason.orElseThrow());
    }

    /**
     * Drops a connection that is closing, or whose client was asked to send nothing more, unless
     * that would lose a request or an answer.
     *
     * @param patience as for {@link #quiet}
     * @return whether it was dropped by this call
     */
    boolean hurry(Duration patience) {
        boolean isLeaving = closingReason.isPresent() || !connection.open();
        if (dropped || !isLeaving || !quiet(patience) || !connection.sent()) {
            return false;
        }
        dropped = true;
        connection.drop(closingReason.orElse(CloseCode.TOO_MANY));
        return true;
    }

    /** Answers what was read before the violation, then closes the connection. */
    @Override
    public boolean spoilt(CloseCode code) {
        unreadable = true;
        closingReason = Optional.of(code);
        callers.goes(this);
        settle();
        return true;
    }

    /** Whether the client has violated the protocol, so that nothing more is read from it. */
    protected boolean unreadable() {
        return unreadable;
    }

    /** Closes the connection where nothing is owed and nothing more is to come. */
    public void settle() {
        if (isBusy()) {
            return;
        }
        finalCloseCode()
                .ifPresent(
                        code -> {
                            callers.goes(this);
                            connection.close(code);
                        });
    }

    /** Why an idle connection is to be closed now, or empty where it stays open. */
    private Optional<CloseCode> finalCloseCode() {
        if (unreadable) {
            return closingReason;
        }
        if (inputEnded) {
            return Optional.of(closingReason.orElse(CloseCode.PEER_CLOSED));
        }
        if (surplus) {
            return Optional.of(CloseCode.TOO_MANY);
        }
        return done() ? Optional.of(CloseCode.ANSWERED) : Optional.empty();
    }

    @Override
    public void closed() {
        callers.closed();
    }

    @Override
    public void ended(CloseCode code) {
        callers.ended(this);
    }
}
