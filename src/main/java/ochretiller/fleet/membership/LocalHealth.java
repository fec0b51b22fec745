package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * How far a server doubts itself before it doubts others: its timers come late, it hears nobody, or
 * others had to be told that it is there. The more it doubts, the longer it waits.
 */
final class LocalHealth {
    private static final int MOST = 8;

    /** Each step of doubt lengthens all waits by this part. */
    private static final double STEP = 0.25;

    private int level;

    void more() {
        level = Math.min(MOST, level + 1);
    }

    void less() {
        level = Math.max(0, level - 1);
    }

    int level() {
        return level;
    }

    Duration stretched(Duration span) {
        return level == 0 ? span : Duration.ofNanos((long) (span.toNanos() * (1 + STEP * level)));
    }
}
