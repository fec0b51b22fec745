package ochretiller.fleet.replication;

import java.util.HashMap;
import java.util.Map;

/** Peers that have left several consecutive requests unanswered. Bounded; not thread-safe. */
final class UnresponsivePeers {
    /** Number of consecutive unanswered requests after which a peer counts as unresponsive. */
    private static final int UNRESPONSIVE_THRESHOLD = 3;

    /** Maximum number of peers tracked; bounds memory if new names keep appearing. */
    private static final int MAX_TRACKED = 4_096;

    private final Map<String, Integer> unansweredRequests = new HashMap<>();

    void recordUnanswered(String peer) {
        if (unansweredRequests.size() < MAX_TRACKED) {
            unansweredRequests.merge(peer, 1, Integer::sum);
        }
    }

    void recordReply(String peer) {
        unansweredRequests.remove(peer);
    }

    boolean isUnresponsive(String peer) {
        return unansweredRequests.getOrDefault(peer, 0) >= UNRESPONSIVE_THRESHOLD;
    }

    void clear() {
        unansweredRequests.clear();
    }
}
