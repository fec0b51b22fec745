package ochretiller.jsonrpc;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
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

/**
 * The JSON-RPC frontend: turns messages of gateways into request attempts, health checks and
 * aborts. Belongs to the event loop, except for {@link #accepted}.
 */
public final class JsonRpcFrontend {
    private static final Logger LOG = Logger.getLogger(JsonRpcFrontend.class.getName());

    /** Requests that may be open on one connection. */
    private static final int OPEN = 32;

    private final ClientConnections callers;
    private final Map<String, Operation> operations;
    private final LongFunction<Duration> sinceStart;
    private final HealthChecks health;

    /**
     * A frontend that serves each connection passed to {@link #accepted}.
     *
     * @param callers the server's connections of clients
     * @param operations the operations that can be invoked, by name
     * @param health answers health checks
     * @param sinceStart converts Unix milliseconds to the time since the server's start
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

    /**
     * Takes a connection that was accepted. Called on the I/O thread.
     *
     * @return the handler of the connection
     */
    public ConnectionHandler accepted(Connection connection) {
        return callers.accepted(new JsonRpcConnection(connection, callers, this));
    }

    /** The advertised capacity that goes out with each answer. */
    OptionalDouble hint() {
        return health.hint();
    }

    /** Acts on one message. */
    void read(JsonRpcConnection peer, JsonRpcMessage message) {
        if (!peer.isOpen()) {
            return;
        }
        if (message instanceof JsonRpcMessage.Invalid invalid) {
            reject(peer, OptionalLong.of(invalid.id()), invalid.error());
            return;
        }
        JsonRpcMessage.Call call = (JsonRpcMessage.Call) message;
        try {
            dispatch(peer, call);
        } catch (JsonRpcException e) {
            reject(peer, call.id(), e);
        }
    }

    private void dispatch(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        switch (call.method()) {
            case "ping" -> ping(peer, call);
            case "abort" -> abort(peer, call);
            default -> invoke(peer, call);
        }
    }

    /** Answers an error; a notification that is wrong ends the connection instead. */
    private void reject(JsonRpcConnection peer, OptionalLong id, JsonRpcException error) {
        // Only the first of a connection is logged at INFO, or a peer could fill the log.
        Level level = peer.isFirstBadInput() ? Level.INFO : Level.FINE;
        LOG.log(
                level,
                () ->
                        "bad input from gateway "
                                + peer.name()
                                + ": "
                                + error.code
                                + ' '
                                + error.getMessage());
        if (id.isEmpty()) {
            peer.spoilt(CloseCode.BAD_INPUT);
            return;
        }
        peer.write(JsonRpcCodec.fault(id.getAsLong(), error));
        peer.settle();
    }

    /** Input that cannot be parsed followed messages that could. */
    void unreadable(JsonRpcConnection peer, BadInputException fault) {
        LOG.info(() -> "bad input from gateway " + peer.name() + ": " + fault.getMessage());
        peer.spoilt(CloseCode.BAD_INPUT);
    }

    private static long requiredId(JsonRpcMessage.Call call) {
        return call.id()
                .orElseThrow(() -> new JsonRpcException(JsonRpcException.REQUEST, "missing: id"));
    }

    private void ping(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        long id = requiredId(call);
        if (!(call.params().getOrDefault("full", Boolean.FALSE) instanceof Boolean full)) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: full");
        }
        peer.shows();
        peer.checks(1);
        health.check(
                full,
                good -> {
                    peer.checks(-1);
                    peer.write(JsonRpcCodec.health(id, good, health.hint()));
                    peer.settle();
                });
    }

    /**
     * The client no longer waits for an attempt, which it names by the id of its request or by its
     * request id. An attempt that is not open is no error: its answer crossed the abort.
     */
    private void abort(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        Map<String, Object> params = call.params();
        boolean isByRequestId = params.containsKey("rid");
        Object ownId = call.id().isPresent() ? (Object) call.id().getAsLong() : null;
        Object named = params.getOrDefault("id", isByRequestId ? null : ownId);
        RequestAttempt attempt = findOpen(peer, named, params.get("rid"));
        if (attempt != null) {
            callers.abort(attempt);
        } else if (!(named instanceof Long) && !isByRequestId) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: id");
        }
        if (call.id().isPresent() && !ownId.equals(named)) {
            peer.write(JsonRpcCodec.done(call.id().getAsLong()));
        }
        peer.settle();
    }

    /** The open attempt of this connection with this number or else this request id, or null. */
    private RequestAttempt findOpen(JsonRpcConnection peer, Object number, Object requestId) {
        RequestAttempt attempt = peer.open().get(number);
        if (attempt == null && requestId instanceof String rid) {
            attempt = callers.find(rid);
        }
        return peer.open().containsValue(attempt) ? attempt : null;
    }

    private void invoke(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        long id = requiredId(call);
        Operation operation = operations.get(call.method());
        if (operation == null) {
            throw new JsonRpcException(JsonRpcException.METHOD, "unknown method");
        }
        InvocationParams params = InvocationParams.of(call.params());
        if (operation.isKeyed() && params.token() == null) {
            throw new JsonRpcException(JsonRpcException.PARAMS, "missing or wrong: token");
        }
        if (peer.open().containsKey(id)) {
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
                        id));
    }
}
