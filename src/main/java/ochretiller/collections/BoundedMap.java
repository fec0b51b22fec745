package ochretiller.collections;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Maps of bounded size: an entry beyond the capacity evicts another one. For data about peers or
 * clients, whose number this server does not control. Not thread-safe.
 */
public final class BoundedMap {
    private BoundedMap() {}

    /** Returns an empty map that evicts the least recently accessed entry (LRU). */
    public static <K, V> Map<K, V> evictingLeastRecentlyUsed(int capacity) {
        return new EvictingMap<>(capacity, true);
    }

    /** Returns an empty map that evicts the entry that was added first (FIFO). */
    public static <K, V> Map<K, V> evictingOldest(int capacity) {
        return new EvictingMap<>(capacity, false);
    }

    private static final class EvictingMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private static final int INITIAL_SIZE = 16;
        private static final float LOAD_FACTOR = 0.75f;

        private final int capacity;

        EvictingMap(int capacity, boolean orderedByAccess) {
            super(INITIAL_SIZE, LOAD_FACTOR, orderedByAccess);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > capacity;
        }
    }
}
