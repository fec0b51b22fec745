package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The peers that {@link AntiEntropy} pulls from: tracks which have answered in the current epoch,
 * and which are unresponsive and therefore only probed at intervals. Not thread-safe.
 */
final class PullSources {
    private static final Duration PROBE_INTERVAL = RangePull.RETRY_INTERVAL;

    private final Set<String> epochAwareSources = new HashSet<>();
    private final UnresponsivePeers unresponsive = new UnresponsivePeers();
    private final Map<String, Duration> probedAt = new HashMap<>();

    /** Clears all state: in a new epoch no source is known to have adopted it. */
    void reset() {
        epochAwareSources.clear();
        unresponsive.clear();
        probedAt.clear();
    }

    /** Returns whether the source is known to have adopted the current epoch. */
    boolean knowsEpoch(String source) {
        return epochAwareSources.contains(source);
    }

    void recordReply(String source) {
        epochAwareSources.add(source);
        unresponsive.recordReply(source);
    }

    void recordTimeout(String source) {
        unresponsive.recordUnanswered(source);
        // The source may not have answered because it does not know the epoch.
        epochAwareSources.remove(source);
    }

    boolean isUnresponsive(String source) {
        return unresponsive.isUnresponsive(source);
    }

    /** Returns whether a probe of an unresponsive source is due, and records it as sent if so. */
    boolean tryProbe(String source, Duration now) {
        Duration last = probedAt.get(source);
        if (last != null && now.minus(last).compareTo(PROBE_INTERVAL) < 0) {
            return false;
        }
        probedAt.put(source, now);
        return true;
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState() {
        return epochAwareSources.toString();
    }
}
