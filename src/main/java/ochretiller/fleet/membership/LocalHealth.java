package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * Local health awareness: a bounded score of how likely it is that this server itself is slow. A
 * late timer, a failed probe during which no packet arrived, and a refuted suspicion each raise the
 * score; each answered scheduled probe lowers it. The higher the score, the longer this server
 * waits before it accuses others.
 *
 * <p>Source: Lifeguard (Dadgar, Phillips, Currey 2017), "local health multiplier" and "LHA-Probe".
 * Departures: each step adds a quarter of the timeout instead of a whole one, and the score also
 * lengthens suspicion timeouts.
 */
final class LocalHealth {
    /** Highest score, at which timeouts are three times as long. */
    private static final int MAX_SCORE = 8;

    /** Fraction of a timeout added by each step of the score. */
    private static final double STRETCH_PER_STEP = 0.25;

    private int score;

    /** Raises the score, after a sign that this server is slow or receives nothing. */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Lowers the score, after an answered probe. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** The score, from 0 (healthy) to {@value #MAX_SCORE}. */
    int score() {
        return score;
    }

    /** Lengthens a timeout according to the score. */
    Duration stretch(Duration timeout) {
        if (score == 0) {
            return timeout;
        }
        return Duration.ofNanos((long) (timeout.toNanos() * (1 + STRETCH_PER_STEP * score)));
    }
}
