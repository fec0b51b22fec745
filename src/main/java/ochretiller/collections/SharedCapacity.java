package ochretiller.collections;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * An account of what several holders take of a common capacity. It only counts: its user decides
 * what becomes of a holder that takes more than its share while the capacity is exceeded. Not
 * thread-safe.
 *
 * @param <K> the type of the holders
 */
public final class SharedCapacity<K> {
    private final long capacity;

    /** Amounts above zero, in the order in which their holders began to hold. */
    private final Map<K, Long> amounts = new LinkedHashMap<>();

    private long total;

    /** Creates an account without holders. */
    public SharedCapacity(long capacity) {
        this.capacity = capacity;
    }

    /** Sets what a holder takes; with zero it is no holder any more. */
    public void set(K holder, long amount) {
        Long before = amount == 0 ? amounts.remove(holder) : amounts.put(holder, amount);
        total += amount - (before == null ? 0 : before);
    }

    /** Returns what a holder takes, zero if it is none. */
    public long get(K holder) {
        return amounts.getOrDefault(holder, 0L);
    }

    /** Returns all holders, in the order in which they began to hold. */
    public Set<K> holders() {
        return Collections.unmodifiableSet(amounts.keySet());
    }

    /** Returns whether all holders together take more than the capacity. */
    public boolean isExceeded() {
        return total > capacity;
    }

    /** Returns whether a holder takes more than the capacity divided by the number of holders. */
    public boolean isOverShare(K holder) {
        return get(holder) > capacity / amounts.size();
    }

    /**
     * Returns the holder that has held longest, of those that take more than half an equal share.
     * There is one while the capacity is exceeded: all others together take less than half of the
     * capacity. With a whole share, holders just below it would leave a single one that takes more
     * for a moment as the only choice.
     */
    public K oldestOverHalfShare() {
        return amounts.keySet().stream()
                .filter(holder -> 2 * get(holder) > capacity / amounts.size())
                .findFirst()
                .orElseThrow();
    }
}
