package ochretiller.fleet.replication;

import java.time.Duration;

/**
 * How many claims may be under way, and whose silence is known. The limit climbs while claims are
 * granted in time and what is asked for fills it, and halves where one gets no majority, as the run
 * limit does with cores.
 */
final class ClaimConcurrencyLimit {
    private static final int FIRST = 32;
    private static final int LEAST = 2;
    private static final int MOST = 4096;

    /** How often keepers that are silent are asked whether they are back. */
    private static final Duration PROBE = Duration.ofMillis(200);

    private double limit = FIRST;
    private int underWay;
    private final UnresponsivePeers silence = new UnresponsivePeers();
    private Duration probed = Duration.ZERO;

    boolean hasCapacity() {
        return underWay < (int) limit;
    }

    void started() {
        underWay++;
    }

    void finished(boolean timely) {
        boolean full = underWay >= (int) limit - 1;
        underWay--;
        if (!timely) {
            limit = Math.max(LEAST, limit / 2);
        } else if (full) {
            limit = Math.min(MOST, limit + 1 / limit * 4);
        }
    }

    double limit() {
        return limit;
    }

    void requestSent(String keeper) {
        silence.recordUnanswered(keeper);
    }

    void replyReceived(String keeper) {
        silence.recordReply(keeper);
    }

    boolean isUnresponsive(String keeper) {
        return silence.isUnresponsive(keeper);
    }

    /** Whether to ask silent keepers now: one question each while, to hear when they are back. */
    boolean shouldProbe(Duration now) {
        if (now.minus(probed).compareTo(PROBE) < 0) {
            return false;
        }
        probed = now;
        return true;
    }
}
