package ochretiller.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.model.InvId;
import ochretiller.model.Operation;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Receiver;
import ochretiller.net.Schedule;

/** All connections of gateways: what comes in goes to the owner, what is decided goes out, once for each try. */
public final class Gateway {
    private static final Logger LOG = Logger.getLogger(Gateway.class.getName());
    /** Requests that may be open on one connection. */
    private static final int OPEN = 32;
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
    private final Map<String, Operation> operations;
    private final int limit;
    private final LongFunction<Duration> sinceStart;
    private final Consumer<Try> arrived;
    private final Consumer<Try> gone;
    private final Health health;
    private final Set<Peer> peers = new LinkedHashSet<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private long lastId;
    private int openTries;
    private Duration idleAfter;
    private boolean leaving;

    /**
     * The gateways' side.
     *
     * @param limit      connections that may be open
     * @param idleAfter  how long a connection may be silent at first
     * @param sinceStart turns Unix milliseconds into a span since the start
     * @param arrived    told of each try that is read
     * @param gone       told of each try whose caller is gone
     */
    public Gateway(Schedule schedule, Map<String, Operation> operations, int limit, Duration idleAfter, Health health,
                   LongFunction<Duration> sinceStart, Consumer<Try> arrived, Consumer<Try> gone) {
        this.schedule = schedule;
        this.operations = operations;
        this.limit = limit;
        this.idleAfter = idleAfter;
        this.health = health;
        this.sinceStart = sinceStart;
        this.arrived = arrived;
        this.gone = gone;
        schedule.after(SWEEP, this::sweep);
    }

    /** On the network's thread: a connection was accepted. */
    public Receiver accepted(Connection connection) {
        Peer peer = new Peer(connection, schedule.now(), this);
        if (accepted.incrementAndGet() > limit + limit / SURPLUS) connection.drop(CloseCode.TOO_MANY);
        schedule.post(() -> {
            if (!connection.open()) return; // its end follows
            peers.add(peer);
            makeRoom(peer);
            if (leaving) connection.write(Rpc.SHUTDOWN);
        });
        return peer;
    }

    /**
     * Closes who can best be spared where many are open. Those that have shown nothing take a part of the table only,
     * the oldest of them go first; then goes who has been silent longest. Where all are busy the newcomer is surplus.
     */
    private void makeRoom(Peer newcomer) {
        List<Peer> quiet = peers.stream().filter(peer -> peer != newcomer && peer.quiet()).toList();
        List<Peer> silent = quiet.stream().filter(peer -> !peer.shown).toList();
        boolean full = peers.size() > limit;
        if (silent.size() >= limit / NEWCOMERS || full && !silent.isEmpty() && aged(silent.get(0), NEW)) {
            spare(silent.get(0));
        } else if (full) {
            Peer longest = quiet.stream().filter(peer -> peer.shown)
                .min(Comparator.comparing(peer -> peer.connection.usedAt())).orElse(null);
            if (longest != null) spare(longest);
            else newcomer.surplus = true;
        }
    }

    private void spare(Peer peer) {
        peers.remove(peer);
        peer.connection.close(CloseCode.TOO_MANY);
    }

    private boolean aged(Peer peer, Duration age) {
        return schedule.now().minus(peer.madeAt).compareTo(age) > 0;
    }

    void ended(Peer peer) {
        accepted.decrementAndGet();
        peers.remove(peer);
        // A caller whose connection has ended is known to be gone.
        for (Try inv : List.copyOf(peer.open.values())) leave(inv);
    }

    void read(Peer peer, Rpc.Message message) {
        if (!peer.connection.open()) return;
        try {
            if (message.fault() != null) throw message.fault();
            switch (message.method()) {
                case "ping" -> ping(peer, message);
                case "abort" -> abort(peer, message);
                default -> invoke(peer, message);
            }
        } catch (RpcException e) {
            // The first of a connection is told: guards against a log filled at a peer's will.
            Level level = peer.faulty ? Level.FINE : Level.INFO;
            LOG.log(level, () -> "bad input from gateway " + peer.connection.peer() + ": " + e.code + ' ' + e.getMessage());
            peer.faulty = true;
            if (message.id() == null) peer.connection.drop(CloseCode.BAD_INPUT);
            else peer.connection.write(Rpc.fault(message.id(), e));
            peer.settle();
        }
    }

    private void ping(Peer peer, Rpc.Message message) {
        if (message.id() == null) throw new RpcException(RpcException.REQUEST, "missing: id");
        Object full = message.params().getOrDefault("full", Boolean.FALSE);
        if (!(full instanceof Boolean)) throw new RpcException(RpcException.PARAMS, "missing or wrong: full");
        peer.shown = true;
        peer.checks++;
        health.check((Boolean) full, good -> {
            peer.checks--;
            peer.connection.write(Rpc.health(message.id(), good, health.hint()));
            peer.settle();
        });
    }

    /** The caller waits no longer; what is unknown or answered was answered as the word went out. */
    private void abort(Peer peer, Rpc.Message message) {
        boolean byRid = message.params().containsKey("rid");
        Object named = message.params().getOrDefault("id", byRid ? null : message.id());
        Try inv = peer.open.get(named);
        if (inv == null && message.params().get("rid") instanceof String rid) {
            inv = tries.get(rid);
            if (inv != null && inv.peer != peer) inv = null;
        }
        if (inv != null) leave(inv);
        else if (!(named instanceof Long) && !byRid) {
            throw new RpcException(RpcException.PARAMS, "missing or wrong: id");
        }
        if (message.id() != null && !message.id().equals(named)) peer.connection.write(Rpc.done(message.id()));
        peer.settle();
    }

    private void leave(Try inv) {
        settle(inv);
        gone.accept(inv);
    }

    private void invoke(Peer peer, Rpc.Message message) {
        if (message.id() == null) throw new RpcException(RpcException.REQUEST, "missing: id");
        Operation operation = operations.get(message.method());
        if (operation == null) throw new RpcException(RpcException.METHOD, "unknown method");
        Params params = Params.of(message.params());
        if (operation.tokened() && params.token() == null) {
            throw new RpcException(RpcException.PARAMS, "missing or wrong: token");
        }
        if (peer.open.containsKey(message.id())) throw new RpcException(RpcException.REQUEST, "id is in use");
        if (peer.open.size() >= OPEN) throw new RpcException(RpcException.REQUEST, "too many open requests");
        if (tries.containsKey(params.rid())) throw new RpcException(RpcException.PARAMS, "rid is in use");
        peer.shown = true;
        Try inv = new Try(new InvId(++lastId), params, operation, sinceStart.apply(params.t0()), peer, message.id());
        peer.open.put(inv.rpcId, inv);
        tries.put(inv.rid, inv);
        openTries++;
        if (peer.surplus) throttle(inv, Duration.ZERO, false); // it never ran, and others may have room
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
        inv.peer.open.remove(inv.rpcId);
        openTries--;
        return true;
    }

    private void answer(Try inv, String text) {
        inv.peer.connection.write(text);
        inv.peer.connection.used(schedule.now());
        inv.peer.settle();
    }

    public void succeed(Try inv, byte[] result) {
        if (settle(inv)) answer(inv, Rpc.result(inv.rpcId, result, health.hint()));
    }

    public void throttle(Try inv, Duration retryIn, boolean last) {
        if (settle(inv)) answer(inv, Rpc.throttled(inv.rpcId, retryIn, last, health.hint()));
    }

    public void fail(Try inv, String why) {
        if (settle(inv)) answer(inv, Rpc.failed(inv.rpcId, why, health.hint()));
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
            if (!peer.shown && aged(peer, SHOWS)) peer.connection.close(CloseCode.SILENT);
            else if (schedule.now().minus(peer.connection.usedAt()).compareTo(idleAfter) > 0) {
                peer.connection.close(CloseCode.IDLE);
            }
        }
    }

    /** Asks gateways to bring nothing more on the connections that are open. */
    public void leave() {
        leaving = true;
        for (Peer peer : peers) peer.connection.write(Rpc.SHUTDOWN);
    }

    /** Closes what is open; all that was read has its answer. */
    public void close() {
        for (Peer peer : new ArrayList<>(peers)) peer.connection.close(CloseCode.LEAVING);
    }
}
