package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.Operation;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.text.BadInputException;

/** The JSON-RPC front: what gateways say becomes tries and checks. */
public final class JsonRpcFrontend {
    private static final Logger LOG = Logger.getLogger(JsonRpcFrontend.class.getName());

    /** Requests that may be open on one connection. */
    private static final int OPEN = 32;

    private final ClientConnections callers;
    private final Map<String, Operation> operations;
    private final LongFunction<Duration> sinceStart;
    private final HealthChecks health;

    /**
     * The gateways' side.
     *
     * @param sinceStart turns Unix milliseconds into a span since the start
     */
    public JsonRpcFrontend(
            ClientConnections callers,
            Map<String, Operation> operations,
            HealthChecks health,
            LongFunction<Duration> sinceStart) {
        this.callers = callers;
        this.operations = operations;
        this.health = health;
        this.sinceStart = sinceStart;
    }

    /** On the network's thread: a connection was accepted. */
    public ConnectionHandler accepted(Connection connection) {
        return callers.accepted(new JsonRpcConnection(connection, callers, this));
    }

    Double hint() {
        return health.hint();
    }

    void read(JsonRpcConnection peer, JsonRpcCodec.Message message) {
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
        } catch (JsonRpcException e) {
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
            peer.write(JsonRpcCodec.fault(message.id(), e));
            peer.settle();
        }
    }

    /** What cannot be read came behind what could. */
    void unreadable(JsonRpcConnection peer, BadInputException fault) {
        LOG.info(() -> "bad input from gateway " + peer.name() + ": " + fault.getMessage());
        peer.spoilt(CloseCode.BAD_INPUT);
    }

    private void ping(JsonRpcConnection peer, JsonRpcCodec.Message message) {
        if (message.id() == null) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "missing: id");
        }
        Object full = message.params().getOrDefault("full", Boolean.FALSE);
        if (!(full instanceof Boolean)) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: full");
        }
        peer.shows();
        peer.checks(1);
        health.check(
                (Boolean) full,
                good -> {
                    peer.checks(-1);
                    peer.write(JsonRpcCodec.health(message.id(), good, health.hint()));
                    peer.settle();
                });
    }

    /**
     * The caller waits no longer; what is unknown or answered was answered as the word went out.
     */
    private void abort(JsonRpcConnection peer, JsonRpcCodec.Message message) {
        boolean byRid = message.params().containsKey("rid");
        Object named = message.params().getOrDefault("id", byRid ? null : message.id());
        RequestAttempt inv = peer.open().get(named);
        if (inv == null && message.params().get("rid") instanceof String rid) {
            inv = callers.find(rid);
            if (inv != null && !peer.open().containsValue(inv)) {
                inv = null;
            }
        }
        if (inv != null) {
            callers.abort(inv);
        } else if (!(named instanceof Long) && !byRid) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: id");
        }
        if (message.id() != null && !message.id().equals(named)) {
            peer.write(JsonRpcCodec.done(message.id()));
        }
        peer.settle();
    }

    private void invoke(JsonRpcConnection peer, JsonRpcCodec.Message message) {
        if (message.id() == null) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "missing: id");
        }
        Operation operation = operations.get(message.method());
        if (operation == null) {
            throw new JsonRpcException(JsonRpcException.METHOD, "unknown method");
        }
        InvocationParams params = InvocationParams.of(message.params());
        if (operation.isKeyed() && params.token() == null) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: token");
        }
        if (peer.open().containsKey(message.id())) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "id is in use");
        }
        if (peer.open().size() >= OPEN) {
            throw new JsonRpcException(JsonRpcException.REQUEST, "too many open requests");
        }
        if (callers.knows(params.rid())) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "rid is in use");
        }
        callers.opened(
                new RequestAttempt(
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
