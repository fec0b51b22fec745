package ochretiller.fleet.replication;

import java.util.HashMap;
import java.util.Map;

/** Whose silence is known: who has left so many questions in a row unanswered. */
final class UnresponsivePeers {
    private static final int UNANSWERED = 3;
    private static final int KEEPERS = 4_096;

    private final Map<String, Integer> recordUnanswered = new HashMap<>();

    void recordUnanswered(String keeper) {
        if (recordUnanswered.size() < KEEPERS) {
            recordUnanswered.merge(keeper, 1, Integer::sum);
        }
    }

    void recordReply(String keeper) {
        recordUnanswered.remove(keeper);
    }

    boolean isUnresponsive(String keeper) {
        return recordUnanswered.getOrDefault(keeper, 0) >= UNANSWERED;
    }

    void clear() {
        recordUnanswered.clear();
    }
}
