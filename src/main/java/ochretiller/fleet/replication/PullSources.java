package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What {@link AntiEntropy} knows about the peers that it pulls from in the present epoch: who has
 * answered in it, and who is unresponsive and therefore only probed now and then. Not thread-safe.
 */
final class PullSources {
    private static final Duration PROBE_INTERVAL = RangePull.RETRY_INTERVAL;

    private final Set<String> epochKnown = new HashSet<>();
    private final UnresponsivePeers unresponsive = new UnresponsivePeers();
    private final Map<String, Duration> probedAt = new HashMap<>();

    /** Forgets all, since in a new epoch each source has to be told of it. */
    void reset() {
        epochKnown.clear();
        unresponsive.clear();
        probedAt.clear();
    }

    /** Returns whether the source is known to have adopted the present epoch. */
    boolean knowsEpoch(String source) {
        return epochKnown.contains(source);
    }

    void recordReply(String source) {
        epochKnown.add(source);
        unresponsive.recordReply(source);
    }

    void recordTimeout(String source) {
        unresponsive.recordUnanswered(source);
        // It may not know the epoch, and not answer for that reason.
        epochKnown.remove(source);
    }

    boolean isUnresponsive(String source) {
        return unresponsive.isUnresponsive(source);
    }

    /**
     * Returns whether an unresponsive source may be asked now whether it is back, and records that
     * it is.
     */
    boolean tryProbe(String source, Duration now) {
        Duration last = probedAt.get(source);
        if (last != null && now.minus(last).compareTo(PROBE_INTERVAL) < 0) {
            return false;
        }
        probedAt.put(source, now);
        return true;
    }

    /** Returns what decides the next steps, as text. */
    String describeState() {
        return epochKnown.toString();
    }
}
