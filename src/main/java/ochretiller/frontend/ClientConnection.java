package ochretiller.frontend;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;

/**
 * One connection of a caller and the requests that are open on it; its front writes what they are
 * told.
 */
public abstract class ClientConnection implements ConnectionHandler {
    protected final Connection connection;
    private final ClientConnections callers;
    private final Duration madeAt;
    private final Map<Long, RequestAttempt> open = new LinkedHashMap<>();
    private boolean shown;

    /** Open over the limit: it is told so and closed. */
    private boolean surplus;

    /** Health checks at work. */
    private int checks;

    private boolean inputEnded;
    private boolean unreadable;
    private boolean hurried;

    /** Why it is to end: it was told so, or cannot be read any more; null while it stays. */
    private CloseCode parting;

    protected ClientConnection(Connection connection, ClientConnections callers) {
        this.connection = connection;
        this.callers = callers;
        this.madeAt = callers.now();
    }

    /** Writes that it has succeeded. */
    protected abstract void succeeds(RequestAttempt inv, byte[] result, boolean replayed);

    /**
     * Writes that it was turned away before it ran; no word when to return where {@code retryIn} is
     * zero.
     */
    protected abstract void throttles(RequestAttempt inv, Duration retryIn, boolean last);

    /** Writes that it is errored. */
    protected abstract void fails(RequestAttempt inv, FailureReason why);

    /**
     * Asks to bring nothing more on this connection; false where its protocol has no word for that.
     */
    protected boolean leaves() {
        return false;
    }

    /** By its protocol nothing more is to come: it is closed once all is answered. */
    protected boolean done() {
        return false;
    }

    /** It has sent a request or a health check that was good. */
    public void shows() {
        shown = true;
        callers.shows(this);
    }

    boolean shown() {
        return shown;
    }

    boolean surplus() {
        return surplus;
    }

    void makeSurplus() {
        surplus = true;
    }

    Duration madeAt() {
        return madeAt;
    }

    public Map<Long, RequestAttempt> open() {
        return open;
    }

    /** A health check is at work, or one is over. */
    public void checks(int more) {
        checks += more;
    }

    private boolean busy() {
        return !open.isEmpty() || checks > 0 || waits();
    }

    /**
     * What was read waits for its turn, since answers of its protocol come in the order of the
     * requests.
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
     * Nothing is open on it, nothing that was read waits, and no message that a caller may still
     * wait for is half read: a close loses nothing. Where nothing was shown yet, half a message may
     * be all that ever comes.
     */
    boolean quiet(Duration patience) {
        Duration within = connection.within().orElse(null);
        boolean writes =
                shown && within != null && callers.now().minus(within).compareTo(patience) < 0;
        return !busy() && connection.quiet() && !writes;
    }

    /** Tells it once that nothing more may come; false where there is no word for that. */
    boolean part(CloseCode why) {
        if (parting != null) {
            return true;
        }
        if (!leaves()) {
            return false;
        }
        parting = why;
        return true;
    }

    /** It had its time since it was told. */
    void close() {
        connection.close(parting);
    }

    /**
     * Ends it at once, unless something is open on it or on the way to it; false where it stays for
     * that, or has gone.
     */
    boolean hurry(Duration patience) {
        if (hurried
                || parting == null && connection.open()
                || !quiet(patience)
                || !connection.sent()) {
            return false;
        }
        hurried = true;
        connection.drop(parting == null ? CloseCode.TOO_MANY : parting);
        return true;
    }

    /** Nothing more that it sends is read: what it is owed is answered, then it is closed. */
    @Override
    public boolean spoilt(CloseCode code) {
        unreadable = true;
        parting = code;
        callers.goes(this);
        settle();
        return true;
    }

    /** Nothing that was read behind it counts. */
    protected boolean unreadable() {
        return unreadable;
    }

    /** Closes it where nothing more is to come and nothing is owed. */
    public void settle() {
        if (busy()) {
            return;
        }
        CloseCode why =
                unreadable
                        ? parting
                        : inputEnded
                                ? parting == null ? CloseCode.PEER_CLOSED : parting
                                : surplus ? CloseCode.TOO_MANY : done() ? CloseCode.ANSWERED : null;
        if (why == null) {
            return;
        }
        callers.goes(this);
        connection.close(why);
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
