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
 * The JSON-RPC frontend: turns messages from gateways into request attempts, health checks and
 * aborts. Confined to the event loop, except for {@link #onAccepted}.
 */
public final class JsonRpcFrontend {
    private static final Logger LOG = Logger.getLogger(JsonRpcFrontend.class.getName());

    /** Maximum number of open requests on one connection. */
    private static final int MAX_OPEN_REQUESTS = 32;

    private final ClientConnections clientConnections;
    private final Map<String, Operation> operations;
    private final LongFunction<Duration> sinceStart;
    private final HealthChecks health;

    /**
     * Creates a frontend that serves the connections passed to {@link #onAccepted}.
     *
     * @param clientConnections all client connections of the server
     * @param operations the operations that can be invoked, by name
     * @param health answers health checks
     * @param sinceStart converts Unix milliseconds to the time since the server's start
     */
    public JsonRpcFrontend(
            ClientConnections clientConnections,
            Map<String, Operation> operations,
            HealthChecks health,
            LongFunction<Duration> sinceStart) {
        this.clientConnections = clientConnections;
        this.operations = operations;
        this.health = health;
        this.sinceStart = sinceStart;
    }

    /**
     * Registers an accepted connection. Called on the I/O thread.
     *
     * @return the handler of the connection
     */
    public ConnectionHandler onAccepted(Connection connection) {
        return clientConnections.register(
                new JsonRpcConnection(connection, clientConnections, this));
    }

    /** Returns the advertised capacity, which every response includes. */
    OptionalDouble advertisedCapacity() {
        return health.advertisedCapacity();
    }

    /** Handles one message. */
    void handle(JsonRpcConnection peer, JsonRpcMessage message) {
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

    /** Answers with an error, or closes the connection if the message was a notification. */
    private void reject(JsonRpcConnection peer, OptionalLong id, JsonRpcException error) {
        // Only the first error of a connection is logged at INFO, else a peer could fill the log.
        Level level = peer.recordFirstBadInput() ? Level.INFO : Level.FINE;
        LOG.log(
                level,
                () ->
                        "bad input from gateway "
                                + peer.peerAddress()
                                + ": "
                                + error.code
                                + ' '
                                + error.getMessage());
        if (id.isEmpty()) {
            peer.onProtocolViolation(CloseCode.BAD_INPUT);
            return;
        }
        peer.write(JsonRpcCodec.protocolError(id.getAsLong(), error));
        peer.closeIfDone();
    }

    /** Closes a connection on which unparsable input followed valid messages. */
    void onUnparsableInput(JsonRpcConnection peer, BadInputException violation) {
        LOG.info(
                () ->
                        "bad input from gateway "
                                + peer.peerAddress()
                                + ": "
                                + violation.getMessage());
        peer.onProtocolViolation(CloseCode.BAD_INPUT);
    }

    private static long requiredId(JsonRpcMessage.Call call) {
        return call.id()
                .orElseThrow(
                        () ->
                                new JsonRpcException(
                                        JsonRpcException.INVALID_REQUEST, "missing: id"));
    }

    private void ping(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        long id = requiredId(call);
        if (!(call.params().getOrDefault("full", Boolean.FALSE) instanceof Boolean full)) {
            throw new JsonRpcException(JsonRpcException.INVALID_PARAMS, "missing or wrong: full");
        }
        peer.markValidMessage();
        peer.addPendingChecks(1);
        health.check(
                full,
                healthy -> {
                    peer.addPendingChecks(-1);
                    peer.write(JsonRpcCodec.health(id, healthy, health.advertisedCapacity()));
                    peer.closeIfDone();
                });
    }

    /**
     * Aborts the attempt with the given message id or request id. It is no error if the attempt is
     * not open, since its response may have been sent before the abort arrived.
     */
    private void abort(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        Map<String, Object> params = call.params();
        boolean isByRequestId = params.containsKey("rid");
        Object ownId = call.id().isPresent() ? (Object) call.id().getAsLong() : null;
        Object targetId = params.getOrDefault("id", isByRequestId ? null : ownId);
        RequestAttempt attempt = findOpen(peer, targetId, params.get("rid"));
        if (attempt != null) {
            clientConnections.abort(attempt);
        } else if (!(targetId instanceof Long) && !isByRequestId) {
            throw new JsonRpcException(JsonRpcException.INVALID_PARAMS, "missing or wrong: id");
        }
        if (call.id().isPresent() && !ownId.equals(targetId)) {
            peer.write(JsonRpcCodec.emptyResult(call.id().getAsLong()));
        }
        peer.closeIfDone();
    }

    /** Finds an open attempt of this connection by number or else request id; null if none. */
    private RequestAttempt findOpen(JsonRpcConnection peer, Object number, Object requestId) {
        RequestAttempt attempt = peer.openAttempts().get(number);
        if (attempt == null && requestId instanceof String rid) {
            attempt = clientConnections.findAttempt(rid);
        }
        return peer.openAttempts().containsValue(attempt) ? attempt : null;
    }

    private void invoke(JsonRpcConnection peer, JsonRpcMessage.Call call) {
        long id = requiredId(call);
        Operation operation = operations.get(call.method());
        if (operation == null) {
            throw new JsonRpcException(JsonRpcException.METHOD_NOT_FOUND, "unknown method");
        }
        InvocationParams params = InvocationParams.parse(call.params());
        if (operation.isKeyed() && params.token() == null) {
            throw new JsonRpcException(JsonRpcException.INVALID_PARAMS, "missing or wrong: token");
        }
        if (peer.openAttempts().containsKey(id)) {
            throw new JsonRpcException(JsonRpcException.INVALID_REQUEST, "id is in use");
        }
        if (peer.openAttempts().size() >= MAX_OPEN_REQUESTS) {
            throw new JsonRpcException(JsonRpcException.INVALID_REQUEST, "too many open requests");
        }
        if (clientConnections.isRequestIdUsed(params.requestId())) {
            throw new JsonRpcException(JsonRpcException.INVALID_PARAMS, "rid is in use");
        }
        clientConnections.addAttempt(
                new RequestAttempt(
                        clientConnections.nextId(),
                        params.requestId(),
                        operation,
                        params.memoryKb(),
                        params.clientId(),
                        sinceStart.apply(params.sentAtMillis()),
                        params.sentAtMillis(),
                        params.token(),
                        params.object(),
                        params.body(),
                        peer,
                        id));
    }
}
