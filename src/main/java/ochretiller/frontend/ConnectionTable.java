package ochretiller.frontend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.net.CloseCode;
import ochretiller.net.Scheduler;

/**
 * The open client connections. Closes idle connections, the least useful ones when there are too
 * many, and all of them when the server shuts down. A connection with an open request, or a request
 * in transit, is never closed to make room.
 *
 * <p>Confined to the event loop, except for {@link #accept} and {@link #countReleased}.
 */
final class ConnectionTable {
    /**
     * The limit may be exceeded by 1/4 until other connections are closed, so that health checks
     * can still connect.
     */
    private static final int SURPLUS_DIVISOR = 4;

    /** Connections that have sent no valid message may take 1/4 of the limit. */
    private static final int NEWCOMER_DIVISOR = 4;

    /** Above 1/2 of the limit, newcomers are dropped without being asked to leave. */
    private static final int FLOOD_DIVISOR = 2;

    /**
     * Timeout for the first valid message of a connection. A client must get a response or a close
     * within 3 s.
     */
    private static final Duration FIRST_MESSAGE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Longest transit time of a request: the first one of a new connection, or one that was sent
     * before the client received the message that asks it to leave.
     */
    private static final Duration REQUEST_TRANSIT_TIME = Duration.ofMillis(100);

    /** Time for an idle client to close its side, many times {@link #REQUEST_TRANSIT_TIME}. */
    private static final Duration IDLE_CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

    private final Scheduler scheduler;
    private final int limit;
    private final Duration longestWait;

    /** Connections that have not been asked to leave, the oldest first. */
    private final Set<ClientConnection> stayingConnections = new LinkedHashSet<>();

    /** The {@link #stayingConnections} that have sent no valid message yet, the oldest first. */
    private final Set<ClientConnection> newcomers = new LinkedHashSet<>();

    /** Connections that were asked to leave, violated the protocol, or are closing. */
    private final Set<ClientConnection> leavingConnections = new LinkedHashSet<>();

    /** The number of connections that hold a file descriptor. */
    private final AtomicInteger descriptorCount = new AtomicInteger();

    private Duration idleTimeout;
    private boolean draining;

    /**
     * Creates an empty table.
     *
     * @param scheduler the event loop
     * @param limit the maximum number of open connections
     * @param longestWait the age from which no client waits for an incomplete message
     * @param idleTimeout initial value for {@link #setIdleTimeout}
     */
    ConnectionTable(Scheduler scheduler, int limit, Duration longestWait, Duration idleTimeout) {
        this.scheduler = scheduler;
        this.limit = limit;
        this.longestWait = longestWait;
        this.idleTimeout = idleTimeout;
        scheduler.runAfter(SWEEP_INTERVAL, this::sweep);
    }

    /** Returns the number of connections that may hold a file descriptor at once. */
    static int maxDescriptors(int limit) {
        return limit + limit / SURPLUS_DIVISOR;
    }

    /** Adds an accepted connection, or drops it above the limit. Called on the I/O thread. */
    void accept(ClientConnection peer) {
        if (descriptorCount.incrementAndGet() > maxDescriptors(limit)) {
            peer.connection.drop(CloseCode.TOO_MANY);
        }
        scheduler.post(() -> add(peer));
    }

    /**
     * Counts a released file descriptor. Called on the I/O thread: on the event loop, it could be
     * queued behind a flood of new connections, which would then be dropped.
     */
    void countReleased() {
        descriptorCount.decrementAndGet();
    }

    private void add(ClientConnection peer) {
        if (!peer.connection.isOpen()) {
            return; // remove is called next
        }
        stayingConnections.add(peer);
        newcomers.add(peer);
        enforceLimit(peer);
        if (draining && peer.askToLeave(CloseCode.LEAVING)) {
            startLeaving(peer);
        }
    }

    /**
     * If there are too many connections, closes the oldest newcomer or else the one that has been
     * idle longest. If all are busy, marks the new one as surplus.
     */
    private void enforceLimit(ClientConnection newcomer) {
        dropOneLeaving();
        boolean full = stayingConnections.size() > limit;
        boolean manyNewcomers = newcomers.size() > limit / NEWCOMER_DIVISOR;
        if (manyNewcomers || full) {
            Optional<ClientConnection> oldest =
                    newcomers.stream().filter(this::isClosable).findFirst();
            if (oldest.isPresent()
                    && (manyNewcomers || isOlderThan(oldest.get(), REQUEST_TRANSIT_TIME))) {
                closeNewcomer(oldest.get());
                return;
            }
        }
        if (full) {
            closeLongestIdle(newcomer);
        }
    }

    /** Frees a descriptor of a client that was asked to leave, for the new connection. */
    private void dropOneLeaving() {
        if (descriptorCount.get() <= limit) {
            return;
        }
        for (ClientConnection peer : leavingConnections) {
            if (peer.dropIfLeaving(longestWait)) {
                return;
            }
        }
    }

    private void closeNewcomer(ClientConnection oldest) {
        if (descriptorCount.get() <= limit / FLOOD_DIVISOR) {
            // No loss for clients that all reconnect at once: a request that was sent before the
            // client received the message is still answered.
            release(oldest, CloseCode.TOO_MANY, REQUEST_TRANSIT_TIME);
        } else {
            // A flood would fill the table before the clients could react.
            startLeaving(oldest);
            oldest.connection.drop(CloseCode.TOO_MANY);
        }
    }

    private void closeLongestIdle(ClientConnection newcomer) {
        Optional<ClientConnection> longestIdle =
                stayingConnections.stream()
                        .filter(
                                peer ->
                                        peer != newcomer
                                                && peer.hasSentValidMessage()
                                                && isClosable(peer))
                        .min(Comparator.comparing(peer -> peer.connection.lastUsedAt()));
        if (longestIdle.isPresent()) {
            release(longestIdle.get(), CloseCode.TOO_MANY, REQUEST_TRANSIT_TIME);
        } else {
            newcomer.markSurplus();
        }
    }

    private boolean isClosable(ClientConnection peer) {
        return peer.isClosable(longestWait);
    }

    private boolean isOlderThan(ClientConnection peer, Duration age) {
        return scheduler.now().minus(peer.acceptedAt()).compareTo(age) > 0;
    }

    /** Called when a connection has sent a valid message: it is no newcomer any more. */
    void markActive(ClientConnection peer) {
        newcomers.remove(peer);
    }

    /** Called when a connection is about to be closed. */
    void startLeaving(ClientConnection peer) {
        newcomers.remove(peer);
        if (stayingConnections.remove(peer)) {
            leavingConnections.add(peer);
        }
    }

    /**
     * Closes a connection without open requests. If the protocol has a message for it, the client
     * is first asked to leave: requests already in transit are still answered, and the connection
     * is closed from this side only if the client does not close it within the timeout.
     */
    private void release(ClientConnection peer, CloseCode code, Duration timeout) {
        startLeaving(peer);
        if (peer.askToLeave(code)) {
            scheduler.runAfter(timeout, () -> closeWhenClosable(peer, timeout));
        } else if (peer.hasSentValidMessage()) {
            peer.connection.close(code);
        } else {
            peer.connection.drop(code); // nothing was written on it that could be lost
        }
    }

    private void closeWhenClosable(ClientConnection peer, Duration interval) {
        if (!peer.connection.isOpen()) {
            return;
        }
        if (isClosable(peer)) {
            peer.close();
        } else {
            scheduler.runAfter(interval, () -> closeWhenClosable(peer, interval));
        }
    }

    /** Removes a connection that has been closed. */
    void remove(ClientConnection peer) {
        stayingConnections.remove(peer);
        newcomers.remove(peer);
        leavingConnections.remove(peer);
    }

    /** Sets how long a connection may be idle. */
    void setIdleTimeout(Duration timeout) {
        idleTimeout = timeout;
    }

    private void sweep() {
        scheduler.runAfter(SWEEP_INTERVAL, this::sweep);
        for (ClientConnection peer : List.copyOf(stayingConnections)) {
            if (!isClosable(peer)) {
                continue; // a close could lose unprocessed input
            }
            if (!peer.hasSentValidMessage() && isOlderThan(peer, FIRST_MESSAGE_TIMEOUT)) {
                release(peer, CloseCode.SILENT, REQUEST_TRANSIT_TIME);
            } else if (isIdle(peer)) {
                release(peer, CloseCode.IDLE, IDLE_CLOSE_TIMEOUT);
            }
        }
    }

    private boolean isIdle(ClientConnection peer) {
        return scheduler.now().minus(peer.connection.lastUsedAt()).compareTo(idleTimeout) > 0;
    }

    /** Asks all current and future clients to send no further requests. */
    void startDrain() {
        draining = true;
        for (ClientConnection peer : List.copyOf(stayingConnections)) {
            if (peer.askToLeave(CloseCode.LEAVING)) {
                startLeaving(peer);
            }
        }
    }

    /** Returns the number of connections that are open or closing. */
    int size() {
        return stayingConnections.size() + leavingConnections.size();
    }

    /** Returns all connections that are open or closing. */
    List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(stayingConnections);
        all.addAll(leavingConnections);
        return all;
    }
}
