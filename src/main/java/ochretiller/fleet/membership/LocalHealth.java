package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * Local health awareness: a saturating score of how likely this server itself is the slow one. Its
 * timers fire late, it hears nothing, or it had to refute a suspicion; each of these raises the
 * score, and each answered probe lowers it. The higher the score, the longer this server waits
 * before it accuses others.
 *
 * <p>Source: Lifeguard (Dadgar, Phillips, Currey 2017), "local health multiplier" and "LHA-Probe".
 * Departures: one step adds a quarter of the timeout and not a whole one, and the score also
 * stretches suspicion timeouts.
 */
final class LocalHealth {
    /** Highest score; waits are three times as long then. */
    private static final int MAX_SCORE = 8;

    /** Part of a timeout that each step of the score adds. */
    private static final double STRETCH_PER_STEP = 0.25;

    private int score;

    /** Something suggests that this server is slow or deaf. */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** A probe of this server was answered. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** From 0, healthy, to {@value #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** A timeout, stretched by the score. */
    Duration stretch(Duration timeout) {
        if (score == 0) {
            return timeout;
        }
        return Duration.ofNanos((long) (timeout.toNanos() * (1 + STRETCH_PER_STEP * score)));
    }
}
