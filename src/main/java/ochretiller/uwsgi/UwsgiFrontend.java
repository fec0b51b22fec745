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
 * The uwsgi frontend: turns requests of web servers into attempts of the operations that their
 * routes name. Belongs to the event loop, except for {@link #accepted}.
 */
public final class UwsgiFrontend {
    private static final Logger LOG = Logger.getLogger(UwsgiFrontend.class.getName());

    /** Bytes of the longest body, as for the JSON-RPC frontend: both feed one processor. */
    static final int LONGEST_BODY = 2 * 1024;

    private static final int LONGEST_KEY = 255;

    /** Hex digits of an idempotency key on the JSON-RPC frontend. */
    private static final int TOKEN = 32;

    private final ClientConnections callers;
    private final Scheduler schedule;
    private final List<Route> routes;
    private final String callerVar;
    private final String timeVar;
    private final LongFunction<Duration> sinceStart;
    private final BooleanSupplier healthy;
    private final SplittableRandom chance;

    /**
     * A frontend that serves each connection passed to {@link #accepted}.
     *
     * @param callers the server's connections of clients
     * @param schedule the event loop
     * @param routes the operations that requests lead to
     * @param callerVar the variable that identifies the client
     * @param timeVar the variable with the time at which a request reached the machine, in Unix
     *     milliseconds; requests may lack it
     * @param sinceStart converts Unix milliseconds to the time since the server's start
     * @param healthy whether pings are answered
     * @param chance random numbers for request ids
     */
    public UwsgiFrontend(
            ClientConnections callers,
            Scheduler schedule,
            List<Route> routes,
            String callerVar,
            String timeVar,
            LongFunction<Duration> sinceStart,
            BooleanSupplier healthy,
            SplittableRandom chance) {
        this.callers = callers;
        this.schedule = schedule;
        this.routes = routes;
        this.callerVar = callerVar;
        this.timeVar = timeVar;
        this.sinceStart = sinceStart;
        this.healthy = healthy;
        this.chance = chance;
    }

    /**
     * Takes a connection that was accepted. Called on the I/O thread.
     *
     * @return the handler of the connection
     */
    public ConnectionHandler accepted(Connection connection) {
        return callers.accepted(new UwsgiConnection(connection, callers, this));
    }

    /** Runs work in the next round of the event loop. */
    void later(Runnable work) {
        schedule.post(work);
    }

    boolean healthy() {
        return healthy.getAsBoolean();
    }

    /** Logs bad input of a peer. */
    void bad(String peer, UwsgiException fault) {
        LOG.info(() -> "bad input from uwsgi " + peer + ": " + fault.getMessage());
    }

    /**
     * Turns a request into an attempt.
     *
     * @param number the number of the request on its connection
     * @throws UwsgiException with the HTTP status of the answer, where the request is wrong
     */
    void invoke(UwsgiConnection peer, UwsgiRequest request, long number) {
        Map<String, String> vars = request.vars();
        String method = vars.getOrDefault("REQUEST_METHOD", "");
        Route route = route(method, path(vars));
        if (route == null) {
            throw new UwsgiException(404, "no such route");
        }
        String caller = vars.getOrDefault(callerVar, peer.name());
        String key = vars.get("HTTP_IDEMPOTENCY_KEY");
        if (route.operation().isKeyed() && (key == null || key.isEmpty())) {
            throw new UwsgiException(400, "no Idempotency-Key");
        }
        if (key != null && key.length() > LONGEST_KEY) {
            throw new UwsgiException(400, "a long Idempotency-Key");
        }
        byte[] named = hash(caller);
        long t0 = t0(vars.get(timeVar));
        callers.opened(
                new RequestAttempt(
                        callers.nextId(),
                        rid(),
                        route.operation(),
                        route.kb(),
                        ByteBuffer.wrap(named).getLong() & Long.MAX_VALUE,
                        t0 == IdempotencyCache.NO_CLIENT_TIMESTAMP
                                ? schedule.now()
                                : sinceStart.apply(t0),
                        t0,
                        key == null ? null : token(caller, method, route, key),
                        null,
                        request.body(),
                        peer,
                        number));
    }

    private Route route(String method, String path) {
        for (Route route : routes) {
            if (route.method().equals(method) && route.path().matches(path)) {
                return route;
            }
        }
        return null;
    }

    private static String path(Map<String, String> vars) {
        String path =
                vars.containsKey("PATH_INFO")
                        ? vars.get("PATH_INFO")
                        : vars.getOrDefault("REQUEST_URI", "");
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    private static long t0(String text) {
        if (text == null || text.isEmpty()) {
            return IdempotencyCache.NO_CLIENT_TIMESTAMP;
        }
        if (text.length() > 15 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(400, "no time");
        }
        return Long.parseLong(text);
    }

    /**
     * The idempotency key within the server. A key in the form of the JSON-RPC frontend is taken as
     * it is, so a retry over the other protocol is recognized. Any other key is scoped to client,
     * method and route: two clients that pick the same key never see each other's results.
     */
    private static String token(String caller, String method, Route route, String key) {
        if (key.length() == TOKEN
                && key.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            return key;
        }
        return HexFormat.of()
                .formatHex(hash(caller + '\n' + method + '\n' + route.path().text() + '\n' + key))
                .substring(0, TOKEN);
    }

    private static byte[] hash(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** A request id that no open attempt has. */
    private String rid() {
        String rid;
        do {
            rid = HexFormat.of().toHexDigits(chance.nextLong());
        } while (callers.knows(rid));
        return rid;
    }
}
