package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How many claims may be under way, and whose silence is known. The limit climbs while claims are granted in time and what is
 * asked for fills it, and halves where one gets no majority, as the run limit does with cores.
 */
final class ClaimLimit {
    private static final int FIRST = 32;
    private static final int LEAST = 2;
    private static final int MOST = 4096;
    /** Questions in a row without a word by which a keeper counts as silent, and how often such a one is asked all the same. */
    private static final int UNANSWERED = 3;
    private static final Duration PROBE = Duration.ofMillis(200);
    private static final int KEEPERS = 4096;

    private double limit = FIRST;
    private int underWay;
    private final Map<String, Integer> unanswered = new HashMap<>();
    private Duration probed = Duration.ZERO;

    boolean room() {
        return underWay < (int) limit;
    }

    void begun() {
        underWay++;
    }

    void over(boolean timely) {
        boolean full = underWay >= (int) limit - 1;
        underWay--;
        if (!timely) limit = Math.max(LEAST, limit / 2);
        else if (full) limit = Math.min(MOST, limit + 1 / limit * 4);
    }

    double limit() {
        return limit;
    }

    void asked(String keeper) {
        if (unanswered.size() < KEEPERS) unanswered.merge(keeper, 1, Integer::sum);
    }

    void heard(String keeper) {
        unanswered.remove(keeper);
    }

    boolean silent(String keeper) {
        return unanswered.getOrDefault(keeper, 0) >= UNANSWERED;
    }

    /** Whether a claim may go out although most of its keepers are silent: now and then one, to hear when they are back. */
    boolean probe(Duration now) {
        if (now.minus(probed).compareTo(PROBE) < 0) return false;
        probed = now;
        return true;
    }
}
