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
 * The open connections of clients, and which of them are closed: the least useful where there are
 * too many, those that are idle, and all of them when the server shuts down. A connection on which
 * something is open, or on its way, is never closed to make room.
 *
 * <p>Belongs to the event loop, except for {@link #accept} and {@link #countReleased}.
 */
final class ConnectionTable {
    /**
     * Part of the limit by which it may be exceeded until others are closed, so that health checks
     * still get in.
     */
    private static final int SURPLUS_PART = 4;

    /** Part of the limit that connections without a valid message may take. */
    private static final int NEWCOMER_PART = 4;

    /** Part of the limit beyond which newcomers are dropped without being asked to leave. */
    private static final int FLOOD_PART = 2;

    /**
     * How long a connection has for its first valid message; a client is owed an answer or a close
     * within 3 s.
     */
    private static final Duration FIRST_MESSAGE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * How long the first request of a new connection may be on its way, and how long a client that
     * is asked to leave may still bring a request that crosses the message.
     */
    private static final Duration CROSSING_TIME = Duration.ofMillis(100);

    /** How long an idle client has to close its side: many times {@link #CROSSING_TIME}. */
    private static final Duration IDLE_CLOSE_TIME = Duration.ofSeconds(1);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

    private final Scheduler schedule;
    private final int limit;
    private final Duration longestWait;

    /** Connections that were not asked to leave, the oldest first. */
    private final Set<ClientConnection> staying = new LinkedHashSet<>();

    /** Those of {@link #staying} that have sent no valid message yet, the oldest first. */
    private final Set<ClientConnection> newcomers = new LinkedHashSet<>();

    /** Connections that were asked to leave, cannot be read any more, or are closing. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();

    /** Connections that hold a file descriptor. */
    private final AtomicInteger descriptors = new AtomicInteger();

    private Duration idleTimeout;
    private boolean draining;

    /**
     * An empty table.
     *
     * @param schedule the event loop
     * @param limit how many connections may be open
     * @param longestWait the age from which nobody waits for an incomplete message
     * @param idleTimeout how long a connection may be idle at first
     */
    ConnectionTable(Scheduler schedule, int limit, Duration longestWait, Duration idleTimeout) {
        this.schedule = schedule;
        this.limit = limit;
        this.longestWait = longestWait;
        this.idleTimeout = idleTimeout;
        schedule.after(SWEEP_INTERVAL, this::sweep);
    }

    /** Takes a connection that was accepted. Called on the I/O thread. */
    void accept(ClientConnection peer) {
        if (descriptors.incrementAndGet() > limit + limit / SURPLUS_PART) {
            peer.connection.drop(CloseCode.TOO_MANY);
        }
        schedule.post(() -> add(peer));
    }

    /**
     * A connection has released its file descriptor. Called on the I/O thread, since on the event
     * loop the ends of connections could wait behind a flood of new ones, which would be dropped.
     */
    void countReleased() {
        descriptors.decrementAndGet();
    }

    private void add(ClientConnection peer) {
        if (!peer.connection.open()) {
            return; // its end is reported next
        }
        staying.add(peer);
        newcomers.add(peer);
        makeRoom(peer);
        if (draining && peer.part(CloseCode.LEAVING)) {
            startLeaving(peer);
        }
    }

    /**
     * Closes the connection that is missed least where there are too many: the oldest newcomer,
     * then the one that has been idle longest. Where all are busy, the new one is surplus.
     */
    private void makeRoom(ClientConnection newcomer) {
        dropOneThatLeaves();
        boolean full = staying.size() > limit;
        boolean manyNewcomers = newcomers.size() > limit / NEWCOMER_PART;
        if (manyNewcomers || full) {
            Optional<ClientConnection> oldest =
                    newcomers.stream().filter(this::isQuiet).findFirst();
            if (oldest.isPresent() && (manyNewcomers || isOlderThan(oldest.get(), CROSSING_TIME))) {
                closeNewcomer(oldest.get());
                return;
            }
        }
        if (full) {
            closeLongestIdle(newcomer);
        }
    }

    /** Frees a descriptor, so that no newcomer is dropped for clients that were asked to leave. */
    private void dropOneThatLeaves() {
        if (descriptors.get() <= limit) {
            return;
        }
        for (ClientConnection peer : leaving) {
            if (peer.hurry(longestWait)) {
                return;
            }
        }
    }

    private void closeNewcomer(ClientConnection oldest) {
        if (descriptors.get() <= limit / FLOOD_PART) {
            // Clients that reconnect all at once lose nothing: a request that crosses the message
            // is answered.
            release(oldest, CloseCode.TOO_MANY, CROSSING_TIME);
        } else {
            // A flood would fill the table before the clients could react.
            startLeaving(oldest);
            oldest.connection.drop(CloseCode.TOO_MANY);
        }
    }

    private void closeLongestIdle(ClientConnection newcomer) {
        Optional<ClientConnection> longestIdle =
                staying.stream()
                        .filter(peer -> peer != newcomer && peer.shown() && isQuiet(peer))
                        .min(Comparator.comparing(peer -> peer.connection.usedAt()));
        if (longestIdle.isPresent()) {
            release(longestIdle.get(), CloseCode.TOO_MANY, CROSSING_TIME);
        } else {
            newcomer.makeSurplus();
        }
    }

    private boolean isQuiet(ClientConnection peer) {
        return peer.quiet(longestWait);
    }

    private boolean isOlderThan(ClientConnection peer, Duration age) {
        return schedule.now().minus(peer.madeAt()).compareTo(age) > 0;
    }

    /** A connection has sent its first valid message. */
    void markActive(ClientConnection peer) {
        newcomers.remove(peer);
    }

    /** A connection is about to be closed. */
    void startLeaving(ClientConnection peer) {
        newcomers.remove(peer);
        if (staying.remove(peer)) {
            leaving.add(peer);
        }
    }

    /**
     * Closes a quiet connection. Where the protocol allows it the client is asked to leave first,
     * and a request that crosses the message is still answered; the connection is then closed here
     * only if the client does not close it.
     */
    private void release(ClientConnection peer, CloseCode code, Duration patience) {
        startLeaving(peer);
        if (peer.part(code)) {
            schedule.after(patience, () -> closeOnceQuiet(peer, patience));
        } else if (peer.shown()) {
            peer.connection.close(code);
        } else {
            peer.connection.drop(code); // nothing was written on it, so nothing can be lost
        }
    }

    private void closeOnceQuiet(ClientConnection peer, Duration interval) {
        if (!peer.connection.open()) {
            return;
        }
        if (isQuiet(peer)) {
            peer.close();
        } else {
            schedule.after(interval, () -> closeOnceQuiet(peer, interval));
        }
    }

    /** A connection has ended. */
    void remove(ClientConnection peer) {
        staying.remove(peer);
        newcomers.remove(peer);
        leaving.remove(peer);
    }

    /** Sets how long a connection may be idle. */
    void setIdleTimeout(Duration timeout) {
        idleTimeout = timeout;
    }

    private void sweep() {
        schedule.after(SWEEP_INTERVAL, this::sweep);
        for (ClientConnection peer : List.copyOf(staying)) {
            if (!isQuiet(peer)) {
                continue; // a close could lose input that is not processed yet
            }
            if (!peer.shown() && isOlderThan(peer, FIRST_MESSAGE_TIMEOUT)) {
                release(peer, CloseCode.SILENT, CROSSING_TIME);
            } else if (isIdle(peer)) {
                release(peer, CloseCode.IDLE, IDLE_CLOSE_TIME);
            }
        }
    }

    private boolean isIdle(ClientConnection peer) {
        return schedule.now().minus(peer.connection.usedAt()).compareTo(idleTimeout) > 0;
    }

    /** Asks all clients, and each that connects from here on, to send nothing more. */
    void startDrain() {
        draining = true;
        for (ClientConnection peer : List.copyOf(staying)) {
            if (peer.part(CloseCode.LEAVING)) {
                startLeaving(peer);
            }
        }
    }

    /** How many connections have not ended. */
    int size() {
        return staying.size() + leaving.size();
    }

    /** All connections that have not ended. */
    List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(staying);
        all.addAll(leaving);
        return all;
    }
}
