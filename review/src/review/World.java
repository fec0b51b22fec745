package review;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the platform knows of the requests that gateways have written to the server. */
final class World {
    /** One try of a request. */
    static final class Try {
        final String name;
        final String rid;
        final String operation;
        final String token;
        final byte[] body;

        /** Set once it is answered, or its gateway has stopped waiting. */
        volatile boolean isOver;

        Try(String name, String rid, String operation, String token, byte[] body) {
            this.name = name;
            this.rid = rid;
            this.operation = operation;
            this.token = token;
            this.body = body;
        }
    }

    private final Map<String, Try> byRid = new ConcurrentHashMap<>();

    void add(Try written) {
        byRid.put(written.rid, written);
    }

    Try find(String rid) {
        return byRid.get(rid);
    }

    boolean isWritten(String rid, String operation, byte[] body) {
        Try found = byRid.get(rid);
        return found != null
                && found.operation.equals(operation)
                && Arrays.equals(found.body, body);
    }
}
