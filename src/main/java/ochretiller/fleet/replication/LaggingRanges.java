package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The ranges that a replica is still catching up on, in ascending order. Not thread-safe. */
final class LaggingRanges {
    private final Map<Integer, RangeCatchUp> catchUps = new TreeMap<>();

    int count() {
        return catchUps.size();
    }

    boolean contains(int range) {
        return catchUps.containsKey(range);
    }

    Optional<RangeCatchUp> get(int range) {
        return Optional.ofNullable(catchUps.get(range));
    }

    void put(int range, RangeCatchUp catchUp) {
        catchUps.put(range, catchUp);
    }

    void remove(int range) {
        catchUps.remove(range);
    }

    void forEach(BiConsumer<Integer, RangeCatchUp> action) {
        catchUps.forEach(action);
    }

    Set<Integer> all() {
        return Set.copyOf(catchUps.keySet());
    }

    /** Returns the ranges in which this replica may have lost claims that it granted. */
    Set<Integer> withLostGrants() {
        Set<Integer> lostGrants = new HashSet<>();
        catchUps.forEach(
                (range, catchUp) -> {
                    if (catchUp.mayHaveLostGrants()) {
                        lostGrants.add(range);
                    }
                });
        return lostGrants;
    }

    /** Returns the ranges whose catch-up has passed its deadline. */
    List<Integer> overdueRanges(Duration now) {
        return catchUps.entrySet().stream()
                .filter(each -> each.getValue().isOverdue(now))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns how long the longest-lagging range has been lagging; zero if none lags. */
    Duration longestLag(Duration now) {
        return catchUps.values().stream()
                .map(catchUp -> catchUp.lag(now))
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }
}
