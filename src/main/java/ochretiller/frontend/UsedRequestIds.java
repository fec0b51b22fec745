package ochretiller.frontend;

import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * The ids of the latest non-idempotent attempts that were handed to a backend. Such a request has
 * no key by which a repeat could be recognized, so its id must not be accepted a second time.
 * Confined to the event loop.
 */
final class UsedRequestIds {
    /** Ids that are remembered; more than are run within the longest client timeout. */
    private static final int CAPACITY = 8_192;

    private final Map<String, Boolean> ids = BoundedMap.evictingOldest(CAPACITY);

    /** Adds the id of an attempt that was handed to a backend, if it may not be repeated. */
    void add(RequestAttempt attempt) {
        if (!attempt.operation.isIdempotent() && !attempt.operation.isKeyed()) {
            ids.put(attempt.requestId, true);
        }
    }

    boolean contains(String requestId) {
        return ids.containsKey(requestId);
    }
}
