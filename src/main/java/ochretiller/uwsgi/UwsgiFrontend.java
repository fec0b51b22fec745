package ochretiller.uwsgi;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import java.util.logging.Logger;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.net.Scheduler;

/**
 * The uwsgi frontend: turns requests from web servers into attempts of the operations that the
 * routes select. Confined to the event loop thread, except for {@link #onAccepted}.
 */
public final class UwsgiFrontend {
    private static final Logger LOG = Logger.getLogger(UwsgiFrontend.class.getName());

    /** Maximum size of a request body, as on the JSON-RPC frontend: both feed one processor. */
    static final int MAX_BODY_BYTES = 2 * 1024;

    private static final int MAX_KEY_CHARS = 255;

    /** Number of hex digits of an idempotency key on the JSON-RPC frontend. */
    private static final int KEY_HEX_DIGITS = 32;

    private final ClientConnections connections;
    private final Scheduler scheduler;
    private final List<Route> routes;
    private final String clientVariable;
    private final String timestampVariable;
    private final LongFunction<Duration> toServerTime;
    private final BooleanSupplier healthCheck;
    private final SplittableRandom random;

    /**
     * Creates a frontend that serves each connection passed to {@link #onAccepted}.
     *
     * @param connections the server's client connections
     * @param scheduler the event loop
     * @param routes select the operation of a request; the first match applies
     * @param clientVariable the request variable that identifies the client
     * @param timestampVariable the optional request variable with the time at which the request
     *     reached the machine, in Unix milliseconds
     * @param toServerTime converts Unix milliseconds to the time since the server's start
     * @param healthCheck whether pings are answered
     * @param random generates request ids
     */
    public UwsgiFrontend(
            ClientConnections connections,
            Scheduler scheduler,
            List<Route> routes,
            String clientVariable,
            String timestampVariable,
            LongFunction<Duration> toServerTime,
            BooleanSupplier healthCheck,
            SplittableRandom random) {
        this.connections = connections;
        this.scheduler = scheduler;
        this.routes = routes;
        this.clientVariable = clientVariable;
        this.timestampVariable = timestampVariable;
        this.toServerTime = toServerTime;
        this.healthCheck = healthCheck;
        this.random = random;
    }

    /**
     * Registers an accepted connection. Called on the I/O thread.
     *
     * @return the handler of the connection
     */
    public ConnectionHandler onAccepted(Connection connection) {
        return connections.register(new UwsgiConnection(connection, connections, this));
    }

    /** Runs a task in the next iteration of the event loop. */
    void post(Runnable task) {
        scheduler.post(task);
    }

    boolean isHealthy() {
        return healthCheck.getAsBoolean();
    }

    /** Logs a request or packet that is rejected. */
    void logBadInput(String peer, UwsgiException fault) {
        LOG.info(() -> "bad input from uwsgi client " + peer + ": " + fault.getMessage());
    }

    /**
     * Opens an attempt for a request.
     *
     * @param number the number of the request on its connection
     * @throws UwsgiException with the HTTP status of the answer, if the request is invalid
     */
    void openAttempt(UwsgiConnection peer, UwsgiRequest request, long number) {
        Map<String, String> vars = request.vars();
        String method = vars.getOrDefault("REQUEST_METHOD", "");
        Route route = findRoute(method, requestPath(vars));
        if (route == null) {
            throw new UwsgiException(404, "no such route");
        }
        String client = vars.getOrDefault(clientVariable, peer.peerHost());
        String key = vars.get("HTTP_IDEMPOTENCY_KEY");
        if (route.operation().isKeyed() && (key == null || key.isEmpty())) {
            throw new UwsgiException(400, "no Idempotency-Key");
        }
        if (key != null && key.length() > MAX_KEY_CHARS) {
            throw new UwsgiException(400, "a long Idempotency-Key");
        }
        byte[] clientHash = hash(client);
        long sentAtMillis = parseTimestamp(vars.get(timestampVariable));
        connections.addAttempt(
                new RequestAttempt(
                        connections.nextId(),
                        newRequestId(),
                        route.operation(),
                        route.memoryKb(),
                        ByteBuffer.wrap(clientHash).getLong() & Long.MAX_VALUE,
                        sentAtMillis == IdempotencyCache.NO_CLIENT_TIMESTAMP
                                ? scheduler.now()
                                : toServerTime.apply(sentAtMillis),
                        sentAtMillis,
                        key == null ? null : internalKey(client, method, route, key),
                        null,
                        request.body(),
                        peer,
                        number));
    }

    private Route findRoute(String method, String path) {
        for (Route route : routes) {
            if (route.method().equals(method) && route.path().matches(path)) {
                return route;
            }
        }
        return null;
    }

    private static String requestPath(Map<String, String> vars) {
        String path =
                vars.containsKey("PATH_INFO")
                        ? vars.get("PATH_INFO")
                        : vars.getOrDefault("REQUEST_URI", "");
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    private static long parseTimestamp(String text) {
        if (text == null || text.isEmpty()) {
            return IdempotencyCache.NO_CLIENT_TIMESTAMP;
        }
        if (text.length() > 15 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(400, "no time");
        }
        return Long.parseLong(text);
    }

    /**
     * Returns the idempotency key used within the server. A key in the format of the JSON-RPC
     * frontend is used unchanged, so that a retry over that protocol is recognized. Any other is
     * scoped to client, method and route: clients with the same key never see each other's results.
     */
    private static String internalKey(String client, String method, Route route, String key) {
        if (key.length() == KEY_HEX_DIGITS
                && key.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            return key;
        }
        return HexFormat.of()
                .formatHex(hash(client + '\n' + method + '\n' + route.path().text() + '\n' + key))
                .substring(0, KEY_HEX_DIGITS);
    }

    private static byte[] hash(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform lacks SHA-256", e);
        }
    }

    /** Returns a random request id that no open attempt uses. */
    private String newRequestId() {
        String rid;
        do {
            rid = HexFormat.of().toHexDigits(random.nextLong());
        } while (connections.isRequestIdUsed(rid));
        return rid;
    }
}
