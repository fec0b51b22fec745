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
 * The uwsgi front: requests of front ends become tries of the operations that their routes name.
 */
public final class UwsgiFrontend {
    private static final Logger LOG = Logger.getLogger(UwsgiFrontend.class.getName());

    /** Longest body, as on the users' own protocol: all fronts feed one processor. */
    static final int LONGEST_BODY = 2 * 1024;

    private static final int LONGEST_KEY = 255;

    /** Hex digits of a token, as on the users' own protocol. */
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
     * The front ends' side.
     *
     * @param callerVar the variable that names who asks
     * @param timeVar the variable with the Unix milliseconds at which a request came to the
     *     machine; it may be absent
     * @param sinceStart turns Unix milliseconds into a span since the start
     * @param chance for the names that tries bear on the wires below
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

    /** On the network's thread: a connection was accepted. */
    public ConnectionHandler accepted(Connection connection) {
        return callers.accepted(new UwsgiConnection(connection, callers, this));
    }

    void later(Runnable work) {
        schedule.post(work);
    }

    boolean healthy() {
        return healthy.getAsBoolean();
    }

    /** The first of a connection is told: guards against a log filled at a peer's will. */
    void bad(String peer, UwsgiException fault) {
        LOG.info(() -> "bad input from uwsgi " + peer + ": " + fault.getMessage());
    }

    /** Hands a request over as a try; what is wrong with it is a fault with its status. */
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
     * A key that is a token of the users' own protocol is taken as it is, so that the repeat of one
     * protocol's try is known on the other. Any other key is its caller's own, bound to method and
     * route as the source says: two callers that pick the same key never see one another's results.
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
            throw new IllegalStateException(e); // each Java platform has it
        }
    }

    private String rid() {
        String rid;
        do {
            rid = HexFormat.of().toHexDigits(chance.nextLong());
        } while (callers.knows(rid));
        return rid;
    }
}
