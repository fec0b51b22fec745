package ochretiller.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.front.Callers;
import ochretiller.front.Try;
import ochretiller.model.Operation;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.Receiver;
import ochretiller.text.BadInputException;

/** The JSON-RPC front: what gateways say becomes tries and checks. */
public final class Gateway {
    private static final Logger LOG = Logger.getLogger(Gateway.class.getName());

    /** Requests that may be open on one connection. */
    private static final int OPEN = 32;

    private final Callers callers;
    private final Map<String, Operation> operations;
    private final LongFunction<Duration> sinceStart;
    private final Health health;

    /**
     * The gateways' side.
     *
     * @param sinceStart turns Unix milliseconds into a span since the start
     */
    public Gateway(
            Callers callers,
            Map<String, Operation> operations,
            Health health,
            LongFunction<Duration> sinceStart) {
        this.callers = callers;
        this.operations = operations;
        this.health = health;
        this.sinceStart = sinceStart;
    }

    /** On the network's thread: a connection was accepted. */
    public Receiver accepted(Connection connection) {
        return callers.accepted(new RpcPeer(connection, callers, this));
    }

    Double hint() {
        return health.hint();
    }

    void read(RpcPeer peer, Rpc.Message message) {
        if (!peer.isOpen()) {
            return;
        }
        try {
            if (message.fault() != null) {
                throw message.fault();
            }
            switch (message.method()) {
                case "ping" -> ping(peer, message);
                case "abort" -> abort(peer, message);
                default -> invoke(peer, message);
            }
        } catch (RpcException e) {
            // The first of a connection is told: guards against a log filled at a peer's will.
            Level level = peer.faulty ? Level.FINE : Level.INFO;
            LOG.log(
                    level,
                    () ->
                            "bad input from gateway "
                                    + peer.name()
                                    + ": "
                                    + e.code
                                    + ' '
                                    + e.getMessage());
            peer.faulty = true;
            if (message.id() == null) {
                peer.spoilt(CloseCode.BAD_INPUT);
                return;
            }
            peer.write(Rpc.fault(message.id(), e));
            peer.settle();
        }
    }

    /** What cannot be read came behind what could. */
    void unreadable(RpcPeer peer, BadInputException fault) {
        LOG.info(() -> "bad input from gateway " + peer.name() + ": " + fault.getMessage());
        peer.spoilt(CloseCode.BAD_INPUT);
    }

    private void ping(RpcPeer peer, Rpc.Message message) {
        if (message.id() == null) {
            throw new RpcException(RpcException.REQUEST, "missing: id");
        }
        Object full = message.params().getOrDefault("full", Boolean.FALSE);
        if (!(full instanceof Boolean)) {
            throw new RpcException(RpcException.PARAMS, "missing or wrong: full");
        }
        peer.shows();
        peer.checks(1);
        health.check(
                (Boolean) full,
                good -> {
                    peer.checks(-1);
                    peer.write(Rpc.health(message.id(), good, health.hint()));
                    peer.settle();
                });
    }

    /**
     * The caller waits no longer; what is unknown or answered was answered as the word went out.
     */
    private void abort(RpcPeer peer, Rpc.Message message) {
        boolean byRid = message.params().containsKey("rid");
        Object named = message.params().getOrDefault("id", byRid ? null : message.id());
        Try inv = peer.open().get(named);
        if (inv == null && message.params().get("rid") instanceof String rid) {
            inv = callers.find(rid);
            if (inv != null && !peer.open().containsValue(inv)) {
                inv = null;
            }
        }
        if (inv != null) {
            callers.abort(inv);
        } else if (!(named instanceof Long) && !byRid) {
            throw new RpcException(RpcException.PARAMS, "missing or wrong: id");
        }
        if (message.id() != null && !message.id().equals(named)) {
            peer.write(Rpc.done(message.id()));
        }
        peer.settle();
    }

    private void invoke(RpcPeer peer, Rpc.Message message) {
        if (message.id() == null) {
            throw new RpcException(RpcException.REQUEST, "missing: id");
        }
        Operation operation = operations.get(message.method());
        if (operation == null) {
            throw new RpcException(RpcException.METHOD, "unknown method");
        }
        Params params = Params.of(message.params());
        if (operation.tokened() && params.token() == null) {
            throw new RpcException(RpcException.PARAMS, "missing or wrong: token");
        }
        if (peer.open().containsKey(message.id())) {
            throw new RpcException(RpcException.REQUEST, "id is in use");
        }
        if (peer.open().size() >= OPEN) {
            throw new RpcException(RpcException.REQUEST, "too many open requests");
        }
        if (callers.knows(params.rid())) {
            throw new RpcException(RpcException.PARAMS, "rid is in use");
        }
        callers.opened(
                new Try(
                        callers.nextId(),
                        params.rid(),
                        operation,
                        params.kb(),
                        params.caller(),
                        sinceStart.apply(params.t0()),
                        params.t0(),
                        params.token(),
                        params.object(),
                        params.body(),
                        peer,
                        message.id()));
    }
}
