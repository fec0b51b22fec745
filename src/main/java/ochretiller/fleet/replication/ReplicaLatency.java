package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How soon each keeper answers, as measured: whom to ask first, and when to ask one more. Claims go
 * to as many as a majority takes, the quickest; one that is slow is asked only where the others
 * leave it open.
 */
final class ReplicaLatency {
    /** Weight of the last answer in what is usual; and of how far answers stray. */
    private static final double NEW = 0.1;

    /**
     * An answer that is late by so many times as much as answers stray is worth asking one more.
     */
    private static final double STRAYS = 4;

    /** Sooner it is the host's own beat that is measured. */
    private static final Duration SOONEST = Duration.ofMillis(5);

    private static final Duration LATEST = Duration.ofMillis(50);
    private static final int KEEPERS = 4_096;

    private final Map<String, Usual> keepers = new HashMap<>();

    private static final class Usual {
        double nanos;
        double strays;
    }

    void record(String keeper, Duration took) {
        if (keepers.size() >= KEEPERS && !keepers.containsKey(keeper)) {
            return;
        }
        double nanos = Math.max(0, took.toNanos());
        Usual usual = keepers.get(keeper);
        if (usual == null) {
            usual = new Usual();
            usual.nanos = nanos;
            usual.strays = nanos / 2;
            keepers.put(keeper, usual);
            return;
        }
        usual.strays += NEW * (Math.abs(nanos - usual.nanos) - usual.strays);
        usual.nanos += NEW * (nanos - usual.nanos);
    }

    /**
     * The same in the order in which they are asked: those that are heard from, the quickest first,
     * then those that are silent.
     */
    List<String> fastestFirst(List<String> all, ClaimConcurrencyLimit limit) {
        List<String> order = new ArrayList<>(all);
        order.sort(
                Comparator.comparing((String each) -> limit.isUnresponsive(each))
                        .thenComparingDouble(
                                each -> keepers.containsKey(each) ? keepers.get(each).nanos : 0));
        return order;
    }

    /** How long an answer of these is waited for before one more is asked. */
    Duration hedgeDelay(List<String> asked) {
        double nanos = SOONEST.toNanos();
        for (String each : asked) {
            Usual usual = keepers.get(each);
            if (usual != null) {
                nanos = Math.max(nanos, usual.nanos + STRAYS * usual.strays);
            }
        }
        return Duration.ofNanos((long) Math.min(LATEST.toNanos(), nanos));
    }
}
