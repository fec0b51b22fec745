package ochretiller.collections;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps that hold so many at most; one more takes the place of the eldest. */
public final class BoundedMap {
    private BoundedMap() {}

    /** The eldest is what was asked for or put longest ago. */
    public static <K, V> Map<K, V> evictingLeastRecentlyUsed(int most) {
        return new Of<>(most, true);
    }

    /** The eldest is what was put first. */
    public static <K, V> Map<K, V> evictingOldest(int most) {
        return new Of<>(most, false);
    }

    private static final class Of<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int most;

        Of(int most, boolean byUse) {
            super(16, 0.75f, byUse);
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > most;
        }
    }
}
