package ochretiller.front;

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
import ochretiller.model.InvId;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Receiver;
import ochretiller.net.Schedule;

/** All connections of callers, over whatever front: what comes in goes to the owner, what is decided goes out, once for each. */
public final class Callers {
    /** Part of the limit by which it may be passed until others are closed, so that health checks still get in. */
    private static final int SURPLUS = 4;
    /** Part of the limit that connections may take which have shown nothing yet. */
    private static final int NEWCOMERS = 4;
    /** How long a connection has to show something; a caller is owed an answer or a close within 3 s. */
    private static final Duration SHOWS = Duration.ofSeconds(2);
    /** Newer ones still may have their first request on the way. */
    private static final Duration NEW = Duration.ofMillis(100);
    /** How often silent connections are looked for. */
    private static final Duration SWEEP = Duration.ofMillis(100);

    private final Schedule schedule;
    private final int limit;
    private final Consumer<Try> arrived;
    private final Consumer<Try> gone;
    private final Set<Peer> peers = new LinkedHashSet<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private long lastId;
    private int openTries;
    private Duration idleAfter;
    private boolean leaving;
    private BiConsumer<Try, Ending> ends = (inv, how) -> { };

    /**
     * No connection yet.
     *
     * @param limit     connections that may be open, over all fronts
     * @param idleAfter how long a connection may be silent at first
     * @param arrived   told of each try that is read
     * @param gone      told of each try whose caller is gone
     */
    public Callers(Schedule schedule, int limit, Duration idleAfter, Consumer<Try> arrived, Consumer<Try> gone) {
        this.schedule = schedule;
        this.limit = limit;
        this.idleAfter = idleAfter;
        this.arrived = arrived;
        this.gone = gone;
        schedule.after(SWEEP, this::sweep);
    }

    /** Told of each answer that is given, once. */
    public void ends(BiConsumer<Try, Ending> listener) {
        ends = listener;
    }

    Duration now() {
        return schedule.now();
    }

    /** On the network's thread: a connection was accepted. */
    public Receiver accepted(Peer peer) {
        Connection connection = peer.connection;
        if (accepted.incrementAndGet() > limit + limit / SURPLUS) connection.drop(CloseCode.TOO_MANY);
        schedule.post(() -> {
            if (!connection.open()) return; // its end follows
            peers.add(peer);
            makeRoom(peer);
            if (leaving) peer.leaves();
        });
        return peer;
    }

    /**
     * Closes who can best be spared where many are open. Those that have shown nothing take a part of the table only,
     * the oldest of them go first; then goes who has been silent longest. Where all are busy the newcomer is surplus.
     */
    private void makeRoom(Peer newcomer) {
        List<Peer> quiet = peers.stream().filter(peer -> peer != newcomer && peer.quiet()).toList();
        List<Peer> silent = quiet.stream().filter(peer -> !peer.shown()).toList();
        boolean full = peers.size() > limit;
        if (silent.size() >= limit / NEWCOMERS || full && !silent.isEmpty() && aged(silent.get(0), NEW)) {
            spare(silent.get(0));
        } else if (full) {
            Peer longest = quiet.stream().filter(peer -> peer.shown())
                .min(Comparator.comparing(peer -> peer.connection.usedAt())).orElse(null);
            if (longest != null) spare(longest);
            else newcomer.makeSurplus();
        }
    }

    private void spare(Peer peer) {
        peers.remove(peer);
        peer.connection.close(CloseCode.TOO_MANY);
    }

    private boolean aged(Peer peer, Duration age) {
        return schedule.now().minus(peer.madeAt()).compareTo(age) > 0;
    }

    void ended(Peer peer) {
        accepted.decrementAndGet();
        peers.remove(peer);
        // A caller whose connection has ended is known to be gone.
        for (Try inv : List.copyOf(peer.open().values())) leave(inv);
    }

    /** The caller waits no longer: no answer is owed. */
    public void abort(Try inv) {
        leave(inv);
    }

    private void leave(Try inv) {
        settle(inv);
        gone.accept(inv);
    }

    /** Whether a try under this name is open or runs. */
    public boolean knows(String rid) {
        return tries.containsKey(rid);
    }

    /** An id that no other try here has. */
    public InvId nextId() {
        return new InvId(++lastId);
    }

    /** A good request was read: its try goes to the owner, or back to its caller where its connection is one too many. */
    public void opened(Try inv) {
        Peer peer = inv.peer;
        peer.shows();
        peer.open().put(inv.number, inv);
        tries.put(inv.rid, inv);
        openTries++;
        if (peer.surplus()) throttle(inv, Duration.ZERO, false); // it never ran, and others may have room
        else arrived.accept(inv);
        if (inv.answered() && !inv.running()) forget(inv);
    }

    /** The try by the name that it bears on all wires, as long as it is not forgotten. */
    public Try find(String rid) {
        return tries.get(rid);
    }

    /** Its answer was given and its run is over. */
    public void forget(Try inv) {
        tries.remove(inv.rid, inv);
    }

    private boolean settle(Try inv) {
        if (inv.answered()) return false;
        inv.settle();
        inv.peer.open().remove(inv.number);
        openTries--;
        return true;
    }

    private void answered(Try inv) {
        inv.peer.connection.used(schedule.now());
        inv.peer.settle();
    }

    public void succeed(Try inv, byte[] result) {
        succeed(inv, result, false);
    }

    /** {@code replayed} where the result is that of another try. */
    public void succeed(Try inv, byte[] result, boolean replayed) {
        if (!settle(inv)) return;
        inv.peer.succeeds(inv, result, replayed);
        ends.accept(inv, replayed ? Ending.REPLAYED : Ending.SUCCEEDED);
        answered(inv);
    }

    public void throttle(Try inv, Duration retryIn, boolean last) {
        if (!settle(inv)) return;
        inv.peer.throttles(inv, retryIn, last);
        ends.accept(inv, Ending.THROTTLED);
        answered(inv);
    }

    public void fail(Try inv, Failure why) {
        if (!settle(inv)) return;
        inv.peer.fails(inv, why);
        ends.accept(inv, Ending.ERRORED);
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
        for (Peer peer : new ArrayList<>(peers)) {
            if (!peer.quiet()) continue; // guards against a close that loses what was just read and is not worked off yet
            if (!peer.shown() && aged(peer, SHOWS)) peer.connection.close(CloseCode.SILENT);
            else if (schedule.now().minus(peer.connection.usedAt()).compareTo(idleAfter) > 0) {
                peer.connection.close(CloseCode.IDLE);
            }
        }
    }

    /** Asks callers to bring nothing more on the connections that are open. */
    public void leave() {
        leaving = true;
        for (Peer peer : peers) peer.leaves();
    }

    /** Closes what is open; all that was read has its answer. */
    public void close() {
        for (Peer peer : new ArrayList<>(peers)) peer.connection.close(CloseCode.LEAVING);
    }
}
