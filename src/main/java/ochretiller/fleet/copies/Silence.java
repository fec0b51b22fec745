package ochretiller.fleet.copies;

import java.util.HashMap;
import java.util.Map;

/** Whose silence is known: who has left so many questions in a row unanswered. */
final class Silence {
    private static final int UNANSWERED = 3;
    private static final int KEEPERS = 4_096;

    private final Map<String, Integer> unanswered = new HashMap<>();

    void unanswered(String keeper) {
        if (unanswered.size() < KEEPERS) {
            unanswered.merge(keeper, 1, Integer::sum);
        }
    }

    void heard(String keeper) {
        unanswered.remove(keeper);
    }

    boolean silent(String keeper) {
        return unanswered.getOrDefault(keeper, 0) >= UNANSWERED;
    }

    void clear() {
        unanswered.clear();
    }
}
