package ochretiller.collections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class BoundedMapTest {
    @Test
    void entryBeyondTheCapacityEvictsTheLeastRecentlyUsed() {
        Map<String, Integer> map = BoundedMap.evictingLeastRecentlyUsed(2);
        map.put("a", 1);
        map.put("b", 2);
        map.get("a");
        map.put("c", 3);
        assertThat(map).containsOnlyKeys("a", "c");
    }

    @Test
    void entryBeyondTheCapacityEvictsTheOldest() {
        Map<String, Integer> map = BoundedMap.evictingOldest(2);
        map.put("a", 1);
        map.put("b", 2);
        map.get("a");
        map.put("c", 3);
        assertThat(map).containsOnlyKeys("b", "c");
    }
}
