package ochretiller.frontend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import ochretiller.model.InvocationId;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;

/**
 * All connections of callers, over whatever front: what comes in goes to the owner, what is decided
 * goes out, once for each.
 */
public final class ClientConnections {
    /**
     * Part of the limit by which it may be passed until others are closed, so that health checks
     * still get in.
     */
    private static final int SURPLUS = 4;

    /** Part of the limit that connections may take which have shown nothing yet. */
    private static final int NEWCOMERS = 4;

    /** Part of the limit beyond which there is no time to tell those that have shown nothing. */
    private static final int FLOODED = 2;

    /**
     * How long a connection has to show something; a caller is owed an answer or a close within 3
     * s.
     */
    private static final Duration SHOWS = Duration.ofSeconds(2);

    /**
     * Newer ones may have their first request on the way; as long has one that makes room to bring
     * what crosses the word.
     */
    private static final Duration NEW = Duration.ofMillis(100);

    /**
     * How long a caller that was told has to end its side: twenty times what a request may cross
     * such a word.
     */
    private static final Duration TOLD = Duration.ofSeconds(1);

    /** How often silent connections are looked for. */
    private static final Duration SWEEP = Duration.ofMillis(100);

    private final Scheduler schedule;
    private final int limit;
    private final Duration longest;
    private final Consumer<RequestAttempt> arrived;
    private final Consumer<RequestAttempt> gone;

    /**
     * Those that were not told to go, and those of them that have shown nothing yet; the oldest
     * first.
     */
    private final Set<ClientConnection> staying = new LinkedHashSet<>();

    private final Set<ClientConnection> silent = new LinkedHashSet<>();

    /** Those that were told, cannot be read any more, or are closing. */
    private final Set<ClientConnection> going = new LinkedHashSet<>();

    private final Map<String, RequestAttempt> tries = new HashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private long lastId;
    private int openTries;
    private Duration idleAfter;
    private boolean leaving;
    private BiConsumer<RequestAttempt, AnswerKind> ends = (inv, how) -> {};

    /**
     * No connection yet.
     *
     * @param limit connections that may be open, over all fronts
     * @param longest a caller waits no longer for anything, so half a message that is older is
     *     nobody's
     * @param idleAfter how long a connection may be silent at first
     * @param arrived told of each try that is read
     * @param gone told of each try whose caller is gone
     */
    public ClientConnections(
            Scheduler schedule,
            int limit,
            Duration longest,
            Duration idleAfter,
            Consumer<RequestAttempt> arrived,
            Consumer<RequestAttempt> gone) {
        this.schedule = schedule;
        this.limit = limit;
        this.longest = longest;
        this.idleAfter = idleAfter;
        this.arrived = arrived;
        this.gone = gone;
        schedule.after(SWEEP, this::sweep);
    }

    /** Told of each answer that is given, once. */
    public void ends(BiConsumer<RequestAttempt, AnswerKind> listener) {
        ends = listener;
    }

    Duration now() {
        return schedule.now();
    }

    /** On the network's thread: a connection was accepted. */
    public ConnectionHandler accepted(ClientConnection peer) {
        Connection connection = peer.connection;
        if (accepted.incrementAndGet() > limit + limit / SURPLUS) {
            connection.drop(CloseCode.TOO_MANY);
        }
        schedule.post(
                () -> {
                    if (!connection.open()) {
                        return; // its end follows
                    }
                    staying.add(peer);
                    silent.add(peer);
                    makeRoom(peer);
                    if (leaving && peer.part(CloseCode.LEAVING)) {
                        goes(peer);
                    }
                });
        return peer;
    }

    /**
     * Ends who can best be spared where many are open. Those that have shown nothing take a part of
     * the table only, the oldest of them go first; then goes who has been silent longest. Where all
     * are busy the newcomer is surplus.
     */
    private void makeRoom(ClientConnection newcomer) {
        // Guards against newcomers that are dropped unread for the sake of those that were told and
        // have not gone yet.
        if (accepted.get() > limit) {
            for (ClientConnection peer : going) {
                if (peer.hurry(longest)) {
                    break;
                }
            }
        }
        boolean full = staying.size() > limit;
        if (silent.size() > limit / NEWCOMERS || full) {
            ClientConnection oldest = silent.stream().filter(this::quiet).findFirst().orElse(null);
            if (oldest != null && (silent.size() > limit / NEWCOMERS || aged(oldest, NEW))) {
                spare(oldest);
                return;
            }
        }
        if (!full) {
            return;
        }
        ClientConnection longest =
                staying.stream()
                        .filter(peer -> peer != newcomer && peer.shown() && quiet(peer))
                        .min(Comparator.comparing(peer -> peer.connection.usedAt()))
                        .orElse(null);
        if (longest != null) {
            release(longest, CloseCode.TOO_MANY, NEW);
        } else {
            newcomer.makeSurplus();
        }
    }

    /**
     * A wave of callers that come back at once loses nothing by it: what crosses the word is
     * answered.
     */
    private void spare(ClientConnection oldest) {
        if (accepted.get() <= limit / FLOODED) {
            release(oldest, CloseCode.TOO_MANY, NEW);
        } else {
            // A flood fills the table before it could be told.
            goes(oldest);
            oldest.connection.drop(CloseCode.TOO_MANY);
        }
    }

    private boolean quiet(ClientConnection peer) {
        return peer.quiet(longest);
    }

    /** It has sent something good. */
    void shows(ClientConnection peer) {
        silent.remove(peer);
    }

    /** It is none of those that stay. */
    void goes(ClientConnection peer) {
        silent.remove(peer);
        if (staying.remove(peer)) {
            going.add(peer);
        }
    }

    /**
     * Ends one that nothing is open on. It is told first, where its protocol has a word for that,
     * and what crosses the word is still answered: guards against a request that is on the way to a
     * connection that rests. We close only if it does not.
     */
    private void release(ClientConnection peer, CloseCode code, Duration patience) {
        goes(peer);
        if (!peer.part(code)) {
            if (peer.shown()) {
                peer.connection.close(code);
            } else {
                peer.connection.drop(code); // nothing was ever written on it that could be lost
            }
        } else {
            schedule.after(patience, () -> closeIfQuiet(peer, patience));
        }
    }

    private void closeIfQuiet(ClientConnection peer, Duration patience) {
        if (!peer.connection.open()) {
            return;
        }
        if (quiet(peer)) {
            peer.close();
        } else {
            schedule.after(patience, () -> closeIfQuiet(peer, patience));
        }
    }

    private boolean aged(ClientConnection peer, Duration age) {
        return schedule.now().minus(peer.madeAt()).compareTo(age) > 0;
    }

    /**
     * On the network's thread: guards against newcomers that are dropped while the ends of others
     * wait behind a crowd of them.
     */
    void closed() {
        accepted.decrementAndGet();
    }

    void ended(ClientConnection peer) {
        staying.remove(peer);
        silent.remove(peer);
        going.remove(peer);
        // A caller whose connection has ended is known to be gone.
        for (RequestAttempt inv : List.copyOf(peer.open().values())) {
            leave(inv);
        }
    }

    /** The caller waits no longer: no answer is owed. */
    public void abort(RequestAttempt inv) {
        leave(inv);
    }

    private void leave(RequestAttempt inv) {
        settle(inv);
        gone.accept(inv);
    }

    /** Whether a try under this name is open or runs. */
    public boolean knows(String rid) {
        return tries.containsKey(rid);
    }

    /** An id that no other try here has. */
    public InvocationId nextId() {
        return new InvocationId(++lastId);
    }

    /**
     * A good request was read: its try goes to the owner, or back to its caller where its
     * connection is one too many.
     */
    public void opened(RequestAttempt inv) {
        ClientConnection peer = inv.peer;
        peer.shows();
        peer.open().put(inv.number, inv);
        tries.put(inv.rid, inv);
        openTries++;
        if (peer.surplus()) {
            throttle(inv, Duration.ZERO, false); // it never ran, and others may have room
        } else {
            arrived.accept(inv);
        }
        if (inv.answered() && !inv.running()) {
            forget(inv);
        }
    }

    /** The try by the name that it bears on all wires, as long as it is not forgotten. */
    public RequestAttempt find(String rid) {
        return tries.get(rid);
    }

    /** Its answer was given and its run is over. */
    public void forget(RequestAttempt inv) {
        tries.remove(inv.rid, inv);
    }

    private boolean settle(RequestAttempt inv) {
        if (inv.answered()) {
            return false;
        }
        inv.settle();
        inv.peer.open().remove(inv.number);
        openTries--;
        return true;
    }

    private void answered(RequestAttempt inv) {
        inv.peer.connection.used(schedule.now());
        inv.peer.settle();
    }

    public void succeed(RequestAttempt inv, byte[] result) {
        succeed(inv, result, false);
    }

    /** {@code replayed} where the result is that of another try. */
    public void succeed(RequestAttempt inv, byte[] result, boolean replayed) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.succeeds(inv, result, replayed);
        ends.accept(inv, replayed ? AnswerKind.REPLAYED : AnswerKind.SUCCEEDED);
        answered(inv);
    }

    public void throttle(RequestAttempt inv, Duration retryIn, boolean last) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.throttles(inv, retryIn, last);
        ends.accept(inv, AnswerKind.THROTTLED);
        answered(inv);
    }

    public void fail(RequestAttempt inv, FailureReason why) {
        if (!settle(inv)) {
            return;
        }
        inv.peer.fails(inv, why);
        ends.accept(inv, AnswerKind.ERRORED);
        answered(inv);
    }

    public int openTries() {
        return openTries;
    }

    public void idleAfter(Duration span) {
        idleAfter = span;
    }

    private void sweep() {
        schedule.after(SWEEP, this::sweep);
        for (ClientConnection peer : List.copyOf(staying)) {
            if (!quiet(peer)) {
                continue; // guards against a close that loses what was read and is not worked off
                // yet
            }
            if (!peer.shown() && aged(peer, SHOWS)) {
                release(peer, CloseCode.SILENT, NEW);
            } else if (schedule.now().minus(peer.connection.usedAt()).compareTo(idleAfter) > 0) {
                release(peer, CloseCode.IDLE, TOLD);
            }
        }
    }

    /** Asks callers to bring nothing more on the connections that are open. */
    public void leave() {
        leaving = true;
        for (ClientConnection peer : List.copyOf(staying)) {
            if (peer.part(CloseCode.LEAVING)) {
                goes(peer);
            }
        }
    }

    /** How many have not ended. */
    public int connections() {
        return staying.size() + going.size();
    }

    /** Ends at once what callers have not ended. */
    public void drop() {
        for (ClientConnection peer : all()) {
            peer.connection.drop(CloseCode.LEAVING);
        }
    }

    /** Closes what is open; all that was read has its answer. */
    public void close() {
        for (ClientConnection peer : all()) {
            peer.connection.close(CloseCode.LEAVING);
        }
    }

    private List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(staying);
        all.addAll(going);
        return all;
    }
}
